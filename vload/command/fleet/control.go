package fleet

import (
	"runtime"
	"slices"
	"time"

	"verbenabank/vload/command/roster"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
)

// event is what the control goroutine is told: acted, thawed, exited, asked,
// ended, overdue or closed.
type event interface{ event() }

// acted is a fault that is due.
type acted struct{ fault plan.Fault }

// thawed says that the time of a freeze is over.
type thawed struct{ names []string }

// exited says that a process ended.
type exited struct {
	name string
	err  error
}

// asked asks for the outages so far.
type asked struct{ reply chan []layout.Outage }

// ended asks that processes end, and closes done when none is left.
type ended struct {
	names []string
	done  chan struct{}
}

// overdue says that the time to end is over.
type overdue struct{ names []string }

// closed ends the control goroutine. The reply is what went wrong.
type closed struct{ reply chan []string }

func (acted) event()   {}
func (thawed) event()  {}
func (exited) event()  {}
func (asked) event()   {}
func (ended) event()   {}
func (overdue) event() {}
func (closed) event()  {}

// stopping is a group of processes that shall end.
type stopping struct {
	names []string
	done  chan struct{}
	timer *time.Timer
}

// control owns the roster and the processes. It stays on one thread, since
// processes are killed when the thread that started them ends.
func (f *Fleet) control() {
	runtime.LockOSThread()
	for e := range f.events {
		now := f.clock.Now()
		switch e := e.(type) {
		case acted:
			for _, name := range e.fault.Processes() {
				f.do(f.roster.Act(f.roster.Names(name), e.fault.Action(), now))
			}
			if _, ok := e.fault.Action().(plan.Replace); ok {
				f.do(f.roster.Act(nil, e.fault.Action(), now))
			}
		case thawed:
			f.do(f.roster.Thaw(e.names, now))
		case exited:
			delete(f.processes, e.name)
			f.do(f.roster.Ended(e.name, e.err, now))
			f.settle()
		case asked:
			e.reply <- f.roster.Outages(now)
		case ended:
			f.end(e)
			f.settle()
		case overdue:
			f.do(f.roster.Destroy(f.roster.Alive(e.names), now))
		case closed:
			e.reply <- f.roster.Failures()
			return
		}
	}
}

// end asks processes to end.
func (f *Fleet) end(e ended) {
	now := f.clock.Now()
	f.do(f.roster.Thaw(e.names, now))
	f.do(f.roster.Act(e.names, plan.Leave{}, now))
	timer := f.after(stopWithin, overdue{names: e.names})
	f.stops = append(f.stops, stopping{names: e.names, done: e.done, timer: timer})
}

// settle tells who waits for processes that have all ended.
func (f *Fleet) settle() {
	f.stops = slices.DeleteFunc(f.stops, func(s stopping) bool {
		if len(f.roster.Alive(s.names)) > 0 {
			return false
		}
		s.timer.Stop()
		close(s.done)
		return true
	})
}

func (f *Fleet) do(effects []roster.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case roster.Launch:
			f.launch(e.Name())
		case roster.Send:
			f.signal(e.Name(), e.Signal())
		case roster.Adjust:
			f.adjust(e)
		case roster.Write:
			f.replace(e)
		case roster.Later:
			f.after(e.Span(), thawed{names: e.Names()})
		}
	}
}
