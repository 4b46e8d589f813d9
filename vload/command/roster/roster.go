// Package roster decides what is done to the processes of a fleet: which are
// started, sent a signal or tuned, and which of their ends are failures.
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

// Suffixes of the names of processes, after the instance.
const (
	TargetSuffix = "/target"
	DaemonSuffix = "/daemon"

	zonePrefix = "zone/"
)

// Roster holds the status of each process. It is for the control goroutine only.
type Roster struct {
	members  []*member
	outages  []layout.Outage
	failures []string
}

type member struct {
	name     string
	instance layout.Instance
	status   status
	since    clock.Millis // of a status other than running
}

// status is where a process stands: idle, running, frozen, ending, restarting or
// killed.
type status interface{ status() }

type (
	idle       struct{}
	running    struct{}
	frozen     struct{}
	ending     struct{}
	restarting struct{}
	killed     struct{}
)

func (idle) status()       {}
func (running) status()    {}
func (frozen) status()     {}
func (ending) status()     {}
func (restarting) status() {}
func (killed) status()     {}

// New returns a roster of idle targets, and of idle daemons if daemons is set.
func New(l layout.Layout, daemons bool) *Roster {
	r := &Roster{}
	for _, i := range l.Instances() {
		if daemons {
			r.members = append(r.members, &member{name: i.Name() + DaemonSuffix, instance: i, status: idle{}})
		}
		r.members = append(r.members, &member{name: i.Name() + TargetSuffix, instance: i, status: idle{}})
	}
	return r
}

// Names returns the processes that a name of a fault stands for.
func (r *Roster) Names(name string) []string {
	var names []string
	zone, isZone := strings.CutPrefix(name, zonePrefix)
	for _, m := range r.members {
		if m.name == name || m.instance.Name() == name || isZone && m.instance.Zone() == zone {
			names = append(names, m.name)
		}
	}
	return names
}

// Failures returns what went wrong with processes.
func (r *Roster) Failures() []string { return r.failures }

// Alive returns those of the names whose process has not ended.
func (r *Roster) Alive(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool {
		m := r.member(name)
		return m == nil || m.status == status(idle{})
	})
}

// Outages returns the times in which the run itself kept instances from working,
// up to now.
func (r *Roster) Outages(now clock.Millis) []layout.Outage {
	list := slices.Clone(r.outages)
	for _, m := range r.members {
		if m.status != status(running{}) {
			list = append(list, layout.NewOutage(m.instance.Name(), m.since, now))
		}
	}
	return list
}

// Act does the action of a fault to the named processes.
func (r *Roster) Act(names []string, a plan.Action, now clock.Millis) []Effect {
	switch a := a.(type) {
	case plan.Replace:
		return []Effect{Write{name: a.Name(), content: a.Content()}}
	case plan.Tune:
		return tune(targets(names), a)
	case plan.Freeze:
		effects := r.each(names, a, now)
		return append(effects, Later{span: a.Duration(), names: names})
	case plan.Kill, plan.Start, plan.Restart, plan.Leave:
		return r.each(names, a, now)
	}
	return nil
}

func (r *Roster) each(names []string, a plan.Action, now clock.Millis) []Effect {
	var effects []Effect
	for _, name := range names {
		if m := r.member(name); m != nil {
			effects = append(effects, r.change(m, a, now)...)
		}
	}
	return effects
}

func (r *Roster) change(m *member, a plan.Action, now clock.Millis) []Effect {
	_, up := m.status.(running)
	switch a.(type) {
	case plan.Start:
		if m.status == status(idle{}) {
			r.enter(m, running{}, now)
			return []Effect{Launch{name: m.name}}
		}
	case plan.Kill:
		if m.status != status(idle{}) {
			r.enter(m, killed{}, now)
			return []Effect{Send{name: m.name, signal: Kill}}
		}
	case plan.Freeze:
		if up {
			r.enter(m, frozen{}, now)
			return []Effect{Send{name: m.name, signal: Stop}}
		}
	case plan.Leave:
		if m.status == status(restarting{}) {
			r.enter(m, ending{}, now)
			return nil
		}
		if up {
			r.enter(m, ending{}, now)
			return []Effect{Send{name: m.name, signal: Terminate}}
		}
	case plan.Restart:
		if up {
			r.enter(m, restarting{}, now)
			return []Effect{Send{name: m.name, signal: Terminate}}
		}
	case plan.Tune, plan.Replace:
	}
	return nil
}

// Thaw lets frozen processes go on.
func (r *Roster) Thaw(names []string, now clock.Millis) []Effect {
	var effects []Effect
	for _, name := range names {
		m := r.member(name)
		if m != nil && m.status == status(frozen{}) {
			r.enter(m, running{}, now)
			effects = append(effects, Send{name: name, signal: Continue})
		}
	}
	return effects
}

// Ended takes in that a process ended, with err unless it exited with 0.
func (r *Roster) Ended(name string, err error, now clock.Millis) []Effect {
	m := r.member(name)
	if m == nil {
		return nil
	}
	again := false
	switch m.status.(type) {
	case killed:
	case ending:
		r.expect(name, err)
	case restarting:
		r.expect(name, err)
		again = true
	case running, frozen, idle:
		r.failures = append(r.failures, fmt.Sprintf("%s ended by itself: %v", name, err))
	}
	r.enter(m, idle{}, now)
	if !again {
		return nil
	}
	r.enter(m, running{}, now)
	return []Effect{Launch{name: name}}
}

// expect notes a failure if a process that was asked to end did not exit with 0.
func (r *Roster) expect(name string, err error) {
	if err != nil {
		r.failures = append(r.failures, fmt.Sprintf("%s did not end gracefully: %v", name, err))
	}
}

// Destroy kills processes that did not end in time.
func (r *Roster) Destroy(names []string, now clock.Millis) []Effect {
	for _, name := range names {
		r.failures = append(r.failures, name+" did not end in time")
	}
	return r.each(names, plan.Kill{}, now)
}

// enter gives a process another status and notes the end of an outage.
func (r *Roster) enter(m *member, s status, now clock.Millis) {
	_, was := m.status.(running)
	_, is := s.(running)
	if is && m.since > 0 {
		r.outages = append(r.outages, layout.NewOutage(m.instance.Name(), m.since, now))
	}
	if was && !is {
		m.since = now
	}
	m.status = s
}

func (r *Roster) member(name string) *member {
	n := slices.IndexFunc(r.members, func(m *member) bool { return m.name == name })
	if n < 0 {
		return nil
	}
	return r.members[n]
}

func targets(names []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return !strings.HasSuffix(n, TargetSuffix) })
}

// tune changes targets now and back after the span.
func tune(names []string, a plan.Tune) []Effect {
	var effects []Effect
	for _, n := range names {
		effects = append(effects,
			Adjust{name: n, tuning: a.Tuning()},
			Adjust{name: n, tuning: server.NewTuning(1, server.Truthful{}), after: a.Duration()})
	}
	return effects
}
