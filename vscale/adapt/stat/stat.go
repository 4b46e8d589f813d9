// Package stat reads the CPU time and resident memory of processes from /proc, and
// the metrics of daemons from their admin API.
package stat

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"verbenabank/core/wire/heads"
)

// requestTimeout limits a request for metrics.
const requestTimeout = 2 * time.Second

// CPUSeconds returns the CPU time that the live threads of a process used so far.
// Threads that end during the call are left out.
func CPUSeconds(pid int) (float64, error) {
	paths, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	if err != nil || len(paths) == 0 {
		return 0, fail("CPU time", err)
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
			return 0, fail("CPU time", err)
		}
		total += nanoseconds / 1e9
	}
	return total, nil
}

// ResidentBytes returns the resident set size of a process.
func ResidentBytes(pid int) (float64, error) {
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

// Metrics are the metrics of a daemon at one time.
type Metrics struct {
	heapBytes     float64
	logSyncMillis float64
	commitIndex   float64
	sessions      int
}

// HeapBytes returns the size of all heap objects, those not yet collected included.
func (m Metrics) HeapBytes() float64 { return m.heapBytes }

// LogSyncMillis returns the duration of the last sync of the replicated log to disk.
func (m Metrics) LogSyncMillis() float64 { return m.logSyncMillis }

// CommitIndex returns the commit index of the replicated log.
func (m Metrics) CommitIndex() float64 { return m.commitIndex }

// Sessions returns the number of daemons with a session at this replica. It is 0
// unless the replica leads.
func (m Metrics) Sessions() int { return m.sessions }

// client requests metrics.
var client = http.Client{Timeout: requestTimeout, Transport: &http.Transport{DialContext: heads.DialContext}}

// ReadMetrics requests the metrics of a daemon at its admin address. It fails after
// 2 s, for a response with a broken head, and for any status but 200.
func ReadMetrics(admin string) (Metrics, error) {
	r, err := client.Get("http://" + admin + "/debug/vars")
	if err != nil {
		return Metrics{}, fail("metrics of "+admin, err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return Metrics{}, fail("metrics of "+admin, errors.New(r.Status))
	}
	var wire struct {
		Memory struct {
			HeapAlloc float64
		} `json:"memstats"`
		Sync     float64 `json:"verbenad.log_sync_ms"`
		Commit   float64 `json:"verbenad.control_commit"`
		Sessions int     `json:"verbenad.sessions"`
	}
	if err := json.NewDecoder(r.Body).Decode(&wire); err != nil {
		return Metrics{}, fail("metrics of "+admin, err)
	}
	return Metrics{heapBytes: wire.Memory.HeapAlloc, logSyncMillis: wire.Sync, commitIndex: wire.Commit, sessions: wire.Sessions}, nil
}
