// Package stat reads the processor time and the memory of processes, and the
// metrics that daemons show.
package stat

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// wait bounds one request to a daemon.
const wait = 2 * time.Second

// Seconds returns the processor time that all threads of a process used so far.
func Seconds(pid int) (float64, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, fail("processor time", err)
	}
	total := 0.0
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			continue
		}
		field, _, _ := strings.Cut(string(text), " ")
		nanoseconds, err := strconv.ParseFloat(field, 64)
		if err != nil {
			return 0, fail("processor time", err)
		}
		total += nanoseconds / 1e9
	}
	return total, nil
}

// Resident returns the resident memory of a process in bytes.
func Resident(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, fail("memory", err)
	}
	fields := strings.Fields(string(text))
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, fail("memory", err)
	}
	return pages * float64(os.Getpagesize()), nil
}

// Vars are the metrics that a daemon shows.
type Vars struct {
	heap     float64
	sync     float64
	commit   float64
	sessions int
}

// Heap returns the bytes of live and dead objects on the heap.
func (v Vars) Heap() float64 { return v.heap }

// Sync returns the milliseconds of the last sync of the log.
func (v Vars) Sync() float64 { return v.sync }

// Commit returns the commit index.
func (v Vars) Commit() float64 { return v.commit }

// Sessions returns how many daemons have a session with this leader.
func (v Vars) Sessions() int { return v.sessions }

// Read returns the metrics of the daemon with an admin address.
func Read(admin string) (Vars, error) {
	client := http.Client{Timeout: wait}
	r, err := client.Get("http://" + admin + "/debug/vars")
	if err != nil {
		return Vars{}, fail("metrics of "+admin, err)
	}
	defer func() { _ = r.Body.Close() }()
	var wire struct {
		Memory struct {
			HeapAlloc float64
		} `json:"memstats"`
		Sync     float64 `json:"verbenad.log_sync_ms"`
		Commit   float64 `json:"verbenad.control_commit"`
		Sessions int     `json:"verbenad.sessions"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		return Vars{}, fail("metrics of "+admin, err)
	}
	return Vars{heap: wire.Memory.HeapAlloc, sync: wire.Sync, commit: wire.Commit, sessions: wire.Sessions}, nil
}
