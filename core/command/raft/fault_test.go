package raft

import (
	"pgregory.net/rapid"

	"verbenabank/core/clock"
)

// fault is something that goes wrong in the cluster: cut, oneWay, crash, crashAll, freeze, wipe,
// slowDisk, clockDrift, unreliable, delayedPartition or transfer.
type fault interface{ fault() }

type (
	cut              struct{ host int }
	oneWay           struct{ from, to int }
	crash            struct{ host int }
	crashAll         struct{}
	freeze           struct{ host int }
	wipe             struct{ host int }
	slowDisk         struct{ host int }
	clockDrift       struct{ host, rate int }
	unreliable       struct{ loss, duplication, delay int }
	delayedPartition struct{ host, lag int }
	transfer         struct{}
)

func (cut) fault()              {}
func (oneWay) fault()           {}
func (crash) fault()            {}
func (crashAll) fault()         {}
func (freeze) fault()           {}
func (wipe) fault()             {}
func (slowDisk) fault()         {}
func (clockDrift) fault()       {}
func (unreliable) fault()       {}
func (delayedPartition) fault() {}
func (transfer) fault()         {}

// timed is a fault with its duration, injected a pause after the previous one.
type timed struct {
	pause clock.Millis
	span  clock.Millis
	fault fault
}

// draw draws a number below n with equal probabilities: the generators of rapid favor small numbers.
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
		return clockDrift{host, 700 + draw(t, 700, "rate")}
	case 10:
		return unreliable{draw(t, 30, "loss"), draw(t, 30, "duplication"), 1 + draw(t, 120, "delay")}
	case 11:
		return transfer{}
	case 12:
		return delayedPartition{host, 50 + draw(t, 300, "lag")}
	}
	return crashAll{}
}

// injectFault injects a fault. A disk is lost only if the group must tolerate it at this time.
func (cl *cluster) injectFault(t timed) {
	cl.faults++
	until := cl.now + t.span
	switch f := t.fault.(type) {
	case cut:
		for k := range cl.hosts {
			cl.cut[[2]int{f.host, k}], cl.cut[[2]int{k, f.host}] = interval{cl.now, until}, interval{cl.now, until}
		}
	case oneWay:
		cl.cut[[2]int{f.from, f.to}] = interval{cl.now, until}
	case crash:
		cl.hosts[f.host].crash()
		cl.hosts[f.host].downUntil = until
	case crashAll:
		for _, h := range cl.hosts {
			h.crash()
			h.downUntil = until
		}
	case freeze:
		cl.hosts[f.host].frozenUntil = until
	case wipe:
		if cl.mayWipe(cl.hosts[f.host]) {
			cl.hosts[f.host].wipe()
			cl.hosts[f.host].downUntil = until
		}
	case slowDisk:
		cl.hosts[f.host].syncMax = int(t.span/5) + 1
	case clockDrift:
		cl.hosts[f.host].setClockRate(clock.Millis(f.rate))
	case unreliable:
		cl.loss, cl.duplication, cl.delay = float64(f.loss)/100, float64(f.duplication)/100, f.delay
	case delayedPartition:
		// Messages to the host are delayed, and shortly after, messages from it are lost.
		for k := range cl.hosts {
			cl.cut[[2]int{f.host, k}] = interval{cl.now + 60, until + 60}
		}
		cl.hosts[f.host].lag, cl.hosts[f.host].lagUntil = clock.Millis(f.lag), until
	case transfer:
		if h := cl.leader(); h != nil {
			h.step(TransferRequested{})
		}
	}
}

// mayWipe reports whether the group must tolerate the loss of the host's disk now. A minority of the
// disks may be lost, each any number of times, until all are repaired.
func (cl *cluster) mayWipe(h *host) bool {
	if cl.disabled.keepIdentity || cl.disabled.exceedDiskLoss {
		return h.disk.HardState().Group() != 0
	}
	if cl.repaired() {
		clear(cl.lost)
	}
	if !cl.lost[h.number] && len(cl.lost) >= (len(cl.hosts)-1)/2 {
		return false
	}
	cl.lost[h.number] = true
	return true
}

// repaired reports whether a leader reports the group as healthy, and all its members have their
// disks.
func (cl *cluster) repaired() bool {
	l := cl.leader()
	if l == nil || !l.node.Status().Healthy() {
		return false
	}
	for _, h := range cl.hosts {
		if !l.node.Status().Members().IsVoter(h.disk.HardState().ID()) {
			return false
		}
	}
	return true
}
