package leader_test

import (
	"fmt"

	"verbenabank/core/clock"
	"verbenabank/core/command/hold"
	"verbenabank/core/state/table"
)

// process is a process of a target that gets its keys by calls. Its clock runs 2% slow.
type process struct {
	sim       *grantSimulation
	name      string
	startTime uint64
	sequence  uint64
	up        bool
	listens   bool // it accepts connections; a process that stops closes its port first
	frozen    bool // it answers nothing and applies calls when it resumes
	held      map[table.Key]heldKey
	seen      map[table.Key]table.Epoch // highest epoch
	busyUntil map[table.Key]clock.Millis
	grantEnds map[table.Key]clock.Millis // of the last grant of a key, also after its release
	resumed   []func()
}

// heldKey is a key that a process holds.
type heldKey struct {
	epoch table.Epoch
	until clock.Millis
}

func newProcess(sm *grantSimulation, name string, startTime uint64) *process {
	return &process{
		sim: sm, name: name, startTime: startTime, up: true, listens: true,
		held: map[table.Key]heldKey{}, seen: map[table.Key]table.Epoch{}, busyUntil: map[table.Key]clock.Millis{},
		grantEnds: map[table.Key]clock.Millis{},
	}
}

// holds reports whether the process begins requests for the key now.
func (p *process) holds(k table.Key) bool {
	h, ok := p.held[k]
	return p.up && ok && p.sim.now < h.until
}

// grant applies a grant that arrived at an instant, now or later.
func (p *process) grant(g hold.Grant, arrived clock.Millis) hold.Result {
	first, last := g.Keys()
	until := arrived + g.TTL() + g.TTL()*2/100
	if !p.up || p.sim.now >= until {
		return hold.NewDone("")
	}
	for k := first; k <= last; k++ {
		if p.seen[k] > g.Epoch() {
			return hold.Stale{}
		}
	}
	for k := first; k <= last; k++ {
		p.seen[k] = g.Epoch()
		p.held[k] = heldKey{epoch: g.Epoch(), until: until}
		p.grantEnds[k] = until
		p.sim.checkTaken(p, k, g.Epoch())
	}
	return hold.NewDone("")
}

// release stops new work on the keys and calls answer once the work on them has ended.
func (p *process) release(r hold.Release, answer func(hold.Result)) {
	first, last := r.Keys()
	end := p.sim.now
	for k := first; k <= last; k++ {
		if p.held[k].epoch <= r.Epoch() {
			delete(p.held, k)
		}
		end = max(end, p.busyUntil[k])
	}
	p.sim.after(end-p.sim.now, func() { answer(hold.NewDone(fmt.Sprintf("%s@%d", p.name, r.Epoch()))) })
}

// crash ends the process at once.
func (p *process) crash() {
	p.up, p.listens = false, false
	clear(p.held)
	clear(p.busyUntil)
}

// freeze stops the process for a while.
func (p *process) freeze(duration clock.Millis) {
	p.frozen = true
	p.sim.after(duration, func() {
		p.frozen = false
		list := p.resumed
		p.resumed = nil
		for _, f := range list {
			f()
		}
	})
}

// whenRunning calls f now, or when the process resumes.
func (p *process) whenRunning(f func()) {
	if p.frozen {
		p.resumed = append(p.resumed, f)
		return
	}
	f()
}
