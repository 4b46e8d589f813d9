package raft

import (
	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// fault is something that happens to the world: cut, oneWay, crash, crashAll,
// freeze, wipe, slowDisk, drift, noise, strand or transfer.
type fault interface{ fault() }

type (
	cut      struct{ host int }
	oneWay   struct{ from, to int }
	crash    struct{ host int }
	crashAll struct{}
	freeze   struct{ host int }
	wipe     struct{ host int }
	slowDisk struct{ host int }
	drift    struct{ host, rate int }
	noise    struct{ loss, double, delay int }
	strand   struct{ host, lag int }
	transfer struct{}
)

func (cut) fault()      {}
func (oneWay) fault()   {}
func (crash) fault()    {}
func (crashAll) fault() {}
func (freeze) fault()   {}
func (wipe) fault()     {}
func (slowDisk) fault() {}
func (drift) fault()    {}
func (noise) fault()    {}
func (strand) fault()   {}
func (transfer) fault() {}

// timed is a fault that follows the last one after a pause.
type timed struct {
	pause clock.Millis
	span  clock.Millis
	fault fault
}

// draw draws a number below n evenly: the generators of rapid favor small ones.
func draw(t *rapid.T, n int, label string) int {
	x := rapid.Uint64().Draw(t, label) + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return int((x ^ x>>31) % uint64(n))
}

func drawFaults(t *rapid.T, hosts int) []timed {
	var list []timed
	for range 5 + draw(t, 40, "count") {
		list = append(list, timed{
			pause: clock.Millis(draw(t, 600, "pause")),
			span:  clock.Millis(5 + draw(t, 900, "span")),
			fault: drawFault(t, hosts),
		})
	}
	return list
}

func drawFault(t *rapid.T, hosts int) fault {
	host := draw(t, hosts, "host")
	switch draw(t, 14, "kind") {
	case 0, 1:
		return cut{host}
	case 2:
		return oneWay{host, draw(t, hosts, "to")}
	case 3, 4:
		return crash{host}
	case 5:
		return freeze{host}
	case 6, 7:
		return wipe{host}
	case 8:
		return slowDisk{host}
	case 9:
		return drift{host, 700 + draw(t, 700, "rate")}
	case 10:
		return noise{draw(t, 30, "loss"), draw(t, 30, "double"), 1 + draw(t, 120, "delay")}
	case 11:
		return transfer{}
	case 12:
		return strand{host, 50 + draw(t, 300, "lag")}
	}
	return crashAll{}
}

// inject brings about a fault. A disk is lost only while the group bears it.
func (w *world) inject(t timed) {
	w.faults++
	until := w.now + t.span
	switch f := t.fault.(type) {
	case cut:
		for k := range w.hosts {
			w.cut[[2]int{f.host, k}], w.cut[[2]int{k, f.host}] = period{w.now, until}, period{w.now, until}
		}
	case oneWay:
		w.cut[[2]int{f.from, f.to}] = period{w.now, until}
	case crash:
		w.hosts[f.host].crash()
		w.hosts[f.host].down = until
	case crashAll:
		for _, h := range w.hosts {
			h.crash()
			h.down = until
		}
	case freeze:
		w.hosts[f.host].frozen = until
	case wipe:
		if w.bears(w.hosts[f.host]) {
			w.hosts[f.host].wipe()
			w.hosts[f.host].down = until
		}
	case slowDisk:
		w.hosts[f.host].syncMax = int(t.span/5) + 1
	case drift:
		w.hosts[f.host].drift(clock.Millis(f.rate))
	case noise:
		w.loss, w.double, w.delay = float64(f.loss)/100, float64(f.double)/100, f.delay
	case strand:
		// What the host gets comes late, and soon what it sends is lost.
		for k := range w.hosts {
			w.cut[[2]int{f.host, k}] = period{w.now + 60, until + 60}
		}
		w.hosts[f.host].lag, w.hosts[f.host].lagged = clock.Millis(f.lag), until
	case transfer:
		if h := w.leader(); h != nil {
			h.step(TransferRequested{})
		}
	}
}

// bears reports whether the loss of the host's disk is to be tolerated now: a
// minority may be lost, each of them again and again, until all are repaired.
func (w *world) bears(h *host) bool {
	if w.weak.emptyMemory || w.weak.wipeFreely {
		return h.disk.HardState().Group() != 0
	}
	if w.repaired() {
		clear(w.lost)
	}
	if !w.lost[h.number] && len(w.lost) >= (len(w.hosts)-1)/2 {
		return false
	}
	w.lost[h.number] = true
	return true
}

// repaired reports whether a leader says that the group is whole, and its
// members have their disks.
func (w *world) repaired() bool {
	l := w.leader()
	if l == nil || !l.node.Status().Healthy() {
		return false
	}
	for _, h := range w.hosts {
		if !l.node.Status().Members().IsVoter(h.disk.HardState().ID()) {
			return false
		}
	}
	return true
}
