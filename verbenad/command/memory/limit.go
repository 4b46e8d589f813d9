package memory

import "runtime/debug"

const (
	mebibyte = 1 << 20
	// defaultMB is the memory of a process whose settings have none, on a machine that has at least twice as much.
	defaultMB = 1024
	// budgetParts is the budget as a part of the process's memory. The rest is for what the process holds for itself, and
	// for garbage that is not collected yet.
	budgetParts = 4
	// softLimitPercent is the part of the memory from which on garbage is collected more often.
	softLimitPercent = 70
)

// ProcessMB returns the memory that the process may use in MB: configured, or half of the machine's memory and at most
// 1024 MB if configured is 0. The machine's memory is 0 if it is not known.
func ProcessMB(configured, machineMB int64) int64 {
	if configured > 0 {
		return configured
	}
	if machineMB > 0 {
		return min(defaultMB, machineMB/2)
	}
	return defaultMB
}

// BudgetBytes returns the size of the budget of a process that may use so many MB.
func BudgetBytes(processMB int64) int64 { return processMB * mebibyte / budgetParts }

// SetSoftLimit makes the runtime collect garbage in time for a process that may use so many MB.
func SetSoftLimit(processMB int64) {
	debug.SetMemoryLimit(processMB * mebibyte * softLimitPercent / 100)
}
