package trial

import (
	"os"
	"runtime"
	"time"

	"verbenabank/vscale/adapt/stat"
	"verbenabank/vscale/command/group"
)

// usage is the cumulative CPU time of the processes in seconds, and the cumulative
// traffic of the stand-in daemons. The CPU time of the followers is their mean.
type usage struct {
	at         time.Time
	leader     float64
	followers  float64
	ownProcess float64
	in, out    int64
	reads      int64
	writes     int64
}

func (t *Trial) usage(leader *group.Replica) (usage, error) {
	u := usage{at: time.Now(), in: t.traffic.BytesIn(), out: t.traffic.BytesOut(), reads: t.traffic.Reads(), writes: t.traffic.Writes()}
	var err error
	if u.leader, err = leader.CPUSeconds(); err != nil {
		return u, err
	}
	for _, f := range t.group.Followers(leader) {
		seconds, err := f.CPUSeconds()
		if err != nil {
			return u, err
		}
		u.followers += seconds / 2
	}
	u.ownProcess, err = stat.CPUSeconds(os.Getpid())
	return u, err
}

// MeasureIdle measures the cost of lease renewals and load reports over a window without
// changes.
func (t *Trial) MeasureIdle(window time.Duration) (IdleRates, error) {
	leader, err := t.group.Leader()
	if err != nil {
		return IdleRates{}, err
	}
	before, err := t.usage(leader)
	if err != nil {
		return IdleRates{}, err
	}
	heap, err := t.minHeap(leader, window)
	if err != nil {
		return IdleRates{}, err
	}
	after, err := t.usage(leader)
	if err != nil {
		return IdleRates{}, err
	}
	seconds, daemons := after.at.Sub(before.at).Seconds(), float64(len(t.daemons))
	r := IdleRates{leader: (after.leader - before.leader) / seconds, follower: (after.followers - before.followers) / seconds}
	t.record("idle: leader processor ms/s", 1000*r.leader)
	t.record("idle: follower processor ms/s", 1000*r.follower)
	t.record("idle: daemon processor ms/s", 1000*(after.ownProcess-before.ownProcess)/seconds/daemons)
	t.record("idle: daemon bytes/s up", float64(after.out-before.out)/seconds/daemons)
	t.record("idle: daemon bytes/s down", float64(after.in-before.in)/seconds/daemons)
	t.record("idle: daemon writes/s", float64(after.writes-before.writes)/seconds/daemons)
	t.record("idle: daemon reads/s", float64(after.reads-before.reads)/seconds/daemons)
	t.record("memory: leader heap kB", heap/1024)
	return r, t.measureMemory(leader)
}

// IdleRates are the CPU seconds per second that the leader and, on average, a follower
// use without changes.
type IdleRates struct {
	leader   float64
	follower float64
}

// minHeap returns the smallest heap seen in the window, which approximates the live heap
// right after a garbage collection.
func (t *Trial) minHeap(r *group.Replica, window time.Duration) (float64, error) {
	const pollInterval = 250 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	smallest := 0.0
	for deadline := time.Now().Add(window); time.Now().Before(deadline); <-ticker.C {
		m, err := r.Metrics()
		if err != nil {
			return 0, err
		}
		if smallest == 0 || m.HeapBytes() < smallest {
			smallest = m.HeapBytes()
		}
	}
	return smallest, nil
}

func (t *Trial) measureMemory(leader *group.Replica) error {
	resident, err := leader.ResidentBytes()
	if err != nil {
		return err
	}
	t.record("memory: leader resident kB", resident/1024)
	for _, f := range t.group.Followers(leader) {
		resident, err := f.ResidentBytes()
		if err != nil {
			return err
		}
		t.record("memory: follower resident kB", resident/1024)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.record("memory: stand-ins heap and stacks kB, all in one process", float64(m.HeapAlloc+m.StackInuse)/1024)
	return nil
}
