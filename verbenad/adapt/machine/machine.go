// Package machine reads what the machine has.
package machine

import (
	"os"
	"strconv"
	"strings"
)

const mebibyte = 1 << 20

// MemoryMB returns the memory in MB of the machine, or of the control group of the process if that is less; 0 if neither
// can be read.
func MemoryMB() int64 {
	mb := int64(0)
	text, _ := os.ReadFile("/proc/meminfo")
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "MemTotal:"); ok {
			kb, _ := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			mb = kb >> 10
		}
	}
	group, _ := os.ReadFile("/sys/fs/cgroup/memory.max")
	if n, err := strconv.ParseInt(strings.TrimSpace(string(group)), 10, 64); err == nil && (mb == 0 || n/mebibyte < mb) {
		mb = n / mebibyte
	}
	return mb
}
