package fleet

import (
	"runtime"
	"slices"
	"time"

	"verbenabank/vload/command/roster"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

// event is an input of the control goroutine: faultDue, freezeEnded, processExited, outagesRequested,
// stopRequested, stopTimedOut or shutdownRequested.
type event interface{ event() }

// faultDue is a fault to inject now.
type faultDue struct{ fault plan.Fault }

// freezeEnded makes frozen processes resume.
type freezeEnded struct{ names []string }

// processExited reports that a process exited, or could not be started. The error is nil after a clean
// exit.
type processExited struct {
	name string
	err  error
}

// outagesRequested asks for the outages up to now.
type outagesRequested struct{ reply chan []layout.Outage }

// stopRequested stops a group of processes gracefully. done is closed once all of them have exited.
type stopRequested struct {
	names []string
	done  chan struct{}
}

// stopTimedOut reports that the stop timeout of a group is over.
type stopTimedOut struct{ names []string }

// shutdownRequested ends the control goroutine, which replies with the failures of processes.
type shutdownRequested struct{ reply chan []string }

func (faultDue) event()          {}
func (freezeEnded) event()       {}
func (processExited) event()     {}
func (outagesRequested) event()  {}
func (stopRequested) event()     {}
func (stopTimedOut) event()      {}
func (shutdownRequested) event() {}

// pendingStop is a group of processes that are being stopped. The timer fires stopTimedOut.
type pendingStop struct {
	names []string
	done  chan struct{}
	timer *time.Timer
}

// control is the loop of the control goroutine, which owns the process table and the processes. It
// stays on one operating-system thread, since processes are killed when the thread that started them
// ends.
func (f *Fleet) control() {
	runtime.LockOSThread()
	for e := range f.events {
		now := f.clock.Now()
		switch e := e.(type) {
		case faultDue:
			for _, name := range e.fault.Processes() {
				f.execute(f.table.Apply(f.table.Resolve(name), e.fault.Action(), now))
			}
			if _, ok := e.fault.Action().(plan.Replace); ok {
				f.execute(f.table.Apply(nil, e.fault.Action(), now))
			}
		case freezeEnded:
			f.execute(f.table.Resume(e.names, now))
		case processExited:
			delete(f.processes, e.name)
			f.execute(f.table.HandleExit(e.name, e.err, now))
			f.completeStops()
		case outagesRequested:
			e.reply <- f.table.Outages(now)
		case stopRequested:
			f.terminate(e)
			f.completeStops()
		case stopTimedOut:
			f.execute(f.table.KillOverdue(f.table.Alive(e.names), now))
		case shutdownRequested:
			e.reply <- f.table.Failures()
			return
		}
	}
}

// terminate resumes frozen processes, sends all of the group the signal to stop, and starts the timer
// after which those that are left are killed.
func (f *Fleet) terminate(e stopRequested) {
	now := f.clock.Now()
	f.execute(f.table.Resume(e.names, now))
	f.execute(f.table.Apply(e.names, plan.Leave{}, now))
	timer := f.sendAfter(stopTimeout, stopTimedOut{names: e.names})
	f.pendingStops = append(f.pendingStops, pendingStop{names: e.names, done: e.done, timer: timer})
}

// completeStops notifies the callers of pending stops whose processes have all exited.
func (f *Fleet) completeStops() {
	f.pendingStops = slices.DeleteFunc(f.pendingStops, func(s pendingStop) bool {
		if len(f.table.Alive(s.names)) > 0 {
			return false
		}
		s.timer.Stop()
		close(s.done)
		return true
	})
}

// execute carries out the effects that the process table decided on.
func (f *Fleet) execute(effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Launch:
			f.launch(e.Name())
		case roster.SendSignal:
			f.signal(e.Name(), e.Signal())
		case roster.SetTuning:
			f.applyTuning(e)
		case roster.ReplaceFile:
			f.replaceFile(e)
		case roster.ScheduleResume:
			f.sendAfter(e.Delay(), freezeEnded{names: e.Names()})
		}
	}
}
