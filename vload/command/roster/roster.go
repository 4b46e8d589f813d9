// Package roster tracks the state of the processes of a fleet. It decides which are started, signaled or
// tuned, and which of their exits count as failures.
package roster

import (
	"fmt"
	"slices"
	"strings"

	"verbenabank/core/clock"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

// Suffixes of process names, after the name of the instance.
const (
	TargetSuffix = "/target"
	DaemonSuffix = "/daemon"

	zonePrefix = "zone/"
)

// ProcessTable holds the status of each process. It is not safe for concurrent use; only the control
// goroutine of the fleet uses it.
type ProcessTable struct {
	processes []*process
	outages   []layout.Outage
	failures  []string
}

type process struct {
	name     string
	instance layout.Instance
	status   status
	since    clock.Millis // when it last left the status running, 0 if it never did
}

// status is the state of a process: stopped, running, frozen (SIGSTOP), terminating (asked to exit),
// restarting (asked to exit, then started again) or killed (SIGKILL, not yet exited).
type status interface{ status() }

type (
	stopped     struct{}
	running     struct{}
	frozen      struct{}
	terminating struct{}
	restarting  struct{}
	killed      struct{}
)

func (stopped) status()     {}
func (running) status()     {}
func (frozen) status()      {}
func (terminating) status() {}
func (restarting) status()  {}
func (killed) status()      {}

// New returns a table of the targets of the layout, all stopped, and of its daemons if daemons is set.
func New(l layout.Layout, daemons bool) *ProcessTable {
	t := &ProcessTable{}
	for _, i := range l.Instances() {
		if daemons {
			t.processes = append(t.processes, &process{name: i.Name() + DaemonSuffix, instance: i, status: stopped{}})
		}
		t.processes = append(t.processes, &process{name: i.Name() + TargetSuffix, instance: i, status: stopped{}})
	}
	return t
}

// Resolve returns the names of the processes that a name in a fault stands for: a process, both
// processes of an instance, or all processes of a zone.
func (t *ProcessTable) Resolve(name string) []string {
	var names []string
	zone, isZone := strings.CutPrefix(name, zonePrefix)
	for _, p := range t.processes {
		if p.name == name || p.instance.Name() == name || isZone && p.instance.Zone() == zone {
			names = append(names, p.name)
		}
	}
	return names
}

// Failures returns one line for each failure to start, crash, exit with an error and exit that was
// overdue.
func (t *ProcessTable) Failures() []string { return t.failures }

// Alive returns those of the names whose process has been started and has not exited.
func (t *ProcessTable) Alive(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		p := t.find(name)
		return p == nil || p.status == status(stopped{})
	})
}

// Outages returns the periods in which a process of an instance did not have the status running. Those
// that are still open end at now.
func (t *ProcessTable) Outages(now clock.Millis) []layout.Outage {
	list := slices.Clone(t.outages)
	for _, p := range t.processes {
		if p.status != status(running{}) {
			list = append(list, layout.NewOutage(p.instance.Name(), p.since, now))
		}
	}
	return list
}

// Apply applies the action of a fault to the named processes. Processes whose status does not allow the
// action are skipped.
func (t *ProcessTable) Apply(names []string, a plan.Action, now clock.Millis) []Effect {
	switch a := a.(type) {
	case plan.Replace:
		return []Effect{ReplaceFile{name: a.Name(), content: a.Content()}}
	case plan.Tune:
		return setTunings(onlyTargets(names), a)
	case plan.Freeze:
		effects := t.applyEach(names, a, now)
		return append(effects, ScheduleResume{delay: a.Duration(), names: names})
	case plan.Kill, plan.Start, plan.Restart, plan.Leave:
		return t.applyEach(names, a, now)
	}
	return nil
}

func (t *ProcessTable) applyEach(names []string, a plan.Action, now clock.Millis) []Effect {
	var effects []Effect
	for _, name := range names {
		if p := t.find(name); p != nil {
			effects = append(effects, t.transition(p, a, now)...)
		}
	}
	return effects
}

// transition changes the status of a process as the action asks, if its status allows that. A process
// that is restarting needs no second signal to stop for good.
func (t *ProcessTable) transition(p *process, a plan.Action, now clock.Millis) []Effect {
	_, isRunning := p.status.(running)
	switch a.(type) {
	case plan.Start:
		if p.status == status(stopped{}) {
			t.setStatus(p, running{}, now)
			return []Effect{Launch{name: p.name}}
		}
	case plan.Kill:
		if p.status != status(stopped{}) {
			t.setStatus(p, killed{}, now)
			return []Effect{SendSignal{name: p.name, signal: Kill}}
		}
	case plan.Freeze:
		if isRunning {
			t.setStatus(p, frozen{}, now)
			return []Effect{SendSignal{name: p.name, signal: Stop}}
		}
	case plan.Leave:
		if p.status == status(restarting{}) {
			t.setStatus(p, terminating{}, now)
			return nil
		}
		if isRunning {
			t.setStatus(p, terminating{}, now)
			return []Effect{SendSignal{name: p.name, signal: Terminate}}
		}
	case plan.Restart:
		if isRunning {
			t.setStatus(p, restarting{}, now)
			return []Effect{SendSignal{name: p.name, signal: Terminate}}
		}
	case plan.Tune, plan.Replace:
	}
	return nil
}

// Resume lets frozen processes run again; the others are skipped.
func (t *ProcessTable) Resume(names []string, now clock.Millis) []Effect {
	var effects []Effect
	for _, name := range names {
		p := t.find(name)
		if p != nil && p.status == status(frozen{}) {
			t.setStatus(p, running{}, now)
			effects = append(effects, SendSignal{name: name, signal: Continue})
		}
	}
	return effects
}

// HandleExit records that a process exited, and launches it again if it was restarting. The error is
// nil if the process exited with status 0. An exit that nobody asked for is a failure whatever its
// status.
func (t *ProcessTable) HandleExit(name string, err error, now clock.Millis) []Effect {
	p := t.find(name)
	if p == nil {
		return nil
	}
	relaunch := false
	switch p.status.(type) {
	case killed:
	case terminating:
		t.checkExit(name, err)
	case restarting:
		t.checkExit(name, err)
		relaunch = true
	case running, frozen, stopped:
		t.failures = append(t.failures, fmt.Sprintf("%s exited unexpectedly: %v", name, err))
	}
	t.setStatus(p, stopped{}, now)
	if !relaunch {
		return nil
	}
	t.setStatus(p, running{}, now)
	return []Effect{Launch{name: name}}
}

// checkExit records a failure if a process that was asked to exit did not exit with status 0.
func (t *ProcessTable) checkExit(name string, err error) {
	if err != nil {
		t.failures = append(t.failures, fmt.Sprintf("%s did not exit cleanly: %v", name, err))
	}
}

// KillOverdue kills processes that did not exit within the stop timeout, and records each as a failure.
func (t *ProcessTable) KillOverdue(names []string, now clock.Millis) []Effect {
	for _, name := range names {
		t.failures = append(t.failures, name+" did not exit within the stop timeout")
	}
	return t.applyEach(names, plan.Kill{}, now)
}

// setStatus changes the status of a process. An outage of its instance starts when the process leaves
// the status running, and is recorded when it is running again.
func (t *ProcessTable) setStatus(p *process, s status, now clock.Millis) {
	_, wasRunning := p.status.(running)
	_, nowRunning := s.(running)
	if nowRunning && p.since > 0 {
		t.outages = append(t.outages, layout.NewOutage(p.instance.Name(), p.since, now))
	}
	if wasRunning && !nowRunning {
		p.since = now
	}
	p.status = s
}

func (t *ProcessTable) find(name string) *process {
	n := slices.IndexFunc(t.processes, func(p *process) bool { return p.name == name })
	if n < 0 {
		return nil
	}
	return t.processes[n]
}

// onlyTargets returns those of the process names that are targets.
func onlyTargets(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasSuffix(n, TargetSuffix) })
}

// setTunings changes the behavior of targets now, and back to normal when the duration is over.
func setTunings(names []string, a plan.Tune) []Effect {
	var effects []Effect
	for _, n := range names {
		effects = append(effects,
			SetTuning{name: n, tuning: a.Tuning()},
			SetTuning{name: n, tuning: server.NewTuning(1, server.Truthful{}), delay: a.Duration()})
	}
	return effects
}
