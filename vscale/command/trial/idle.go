package trial

import (
	"os"
	"runtime"
	"time"

	"verbenabank/vscale/adapt/stat"
	"verbenabank/vscale/command/group"
)

// usage is what processes used up to an instant.
type usage struct {
	at        time.Time
	leader    float64
	followers float64
	stands    float64
	in, out   int64
	reads     int64
	writes    int64
}

func (t *Trial) usage(leader *group.Replica) (usage, error) {
	u := usage{at: time.Now(), in: t.tally.In(), out: t.tally.Out(), reads: t.tally.Reads(), writes: t.tally.Writes()}
	var err error
	if u.leader, err = leader.Seconds(); err != nil {
		return u, err
	}
	for _, f := range t.group.Followers(leader) {
		s, err := f.Seconds()
		if err != nil {
			return u, err
		}
		u.followers += s / 2
	}
	u.stands, err = stat.Seconds(os.Getpid())
	return u, err
}

// Idle measures a window without changes: renewals only.
func (t *Trial) Idle(window time.Duration) (Rates, error) {
	leader, err := t.group.Leader()
	if err != nil {
		return Rates{}, err
	}
	before, err := t.usage(leader)
	if err != nil {
		return Rates{}, err
	}
	heap, err := t.leastHeap(leader, window)
	if err != nil {
		return Rates{}, err
	}
	after, err := t.usage(leader)
	if err != nil {
		return Rates{}, err
	}
	seconds, daemons := after.at.Sub(before.at).Seconds(), float64(len(t.stands))
	r := Rates{leader: (after.leader - before.leader) / seconds, follower: (after.followers - before.followers) / seconds}
	t.note("idle: leader processor ms/s", 1000*r.leader)
	t.note("idle: follower processor ms/s", 1000*r.follower)
	t.note("idle: daemon processor ms/s", 1000*(after.stands-before.stands)/seconds/daemons)
	t.note("idle: daemon bytes/s up", float64(after.out-before.out)/seconds/daemons)
	t.note("idle: daemon bytes/s down", float64(after.in-before.in)/seconds/daemons)
	t.note("idle: daemon writes/s", float64(after.writes-before.writes)/seconds/daemons)
	t.note("idle: daemon reads/s", float64(after.reads-before.reads)/seconds/daemons)
	t.note("memory: leader heap kB", heap/1024)
	return r, t.memory(leader)
}

// Rates are the processor seconds a second that replicas use without changes.
type Rates struct {
	leader   float64
	follower float64
}

// leastHeap returns the least heap seen in the window, which is the one soon
// after a garbage collection.
func (t *Trial) leastHeap(r *group.Replica, window time.Duration) (float64, error) {
	const look = 250 * time.Millisecond
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	least := 0.0
	for end := time.Now().Add(window); time.Now().Before(end); <-ticker.C {
		v, err := r.Vars()
		if err != nil {
			return 0, err
		}
		if least == 0 || v.Heap() < least {
			least = v.Heap()
		}
	}
	return least, nil
}

func (t *Trial) memory(leader *group.Replica) error {
	resident, err := leader.Resident()
	if err != nil {
		return err
	}
	t.note("memory: leader resident kB", resident/1024)
	for _, f := range t.group.Followers(leader) {
		resident, err := f.Resident()
		if err != nil {
			return err
		}
		t.note("memory: follower resident kB", resident/1024)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	t.note("memory: stand-ins heap and stacks kB, all in one process", float64(m.HeapAlloc+m.StackInuse)/1024)
	return nil
}
