package owner

import (
	"sync"

	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/core/state/call"
	"verbenabank/core/state/load"
	"verbenabank/core/state/result"
)

const (
	// reportAge is how long a report of the target counts; its weight falls linearly to 0 within that time.
	reportAge = 500 * clock.Millisecond
	// usualPace is the pace of a target whose machine works as usual.
	usualPace = 100
	// minPaceFactor and maxPaceFactor limit what the pace may change in the work left.
	minPaceFactor, maxPaceFactor = 0.5, 2.0
	// paceSmoothing is the weight of the newest pace in the mean.
	paceSmoothing = 0.05
)

// TargetReport is what a target says of its own load.
type TargetReport struct {
	running, waiting, slots int
	pace                    int
}

// NewTargetReport returns the report of a target with the numbers of running and waiting requests and of slots. pace
// is how long work takes at present in percent of the usual time, 0 if the target does not say.
func NewTargetReport(running, waiting, slots, pace int) TargetReport {
	return TargetReport{running: running, waiting: waiting, slots: slots, pace: pace}
}

// Running returns the number of running requests.
func (r TargetReport) Running() int { return r.running }

// Waiting returns the number of waiting requests.
func (r TargetReport) Waiting() int { return r.waiting }

// Slots returns the number of requests that the target runs at once.
func (r TargetReport) Slots() int { return r.slots }

// Pace returns how long work takes at present in percent of the usual time, 0 if it is not known.
func (r TargetReport) Pace() int { return r.pace }

// targetReport is the last report of the target, a witness besides the daemon's own count. It is safe for concurrent
// use.
type targetReport struct {
	mu       sync.Mutex
	last     TargetReport
	at       clock.Millis // 0 if there was none
	meanPace float64
}

func (t *targetReport) record(r TargetReport, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last, t.at = r, now
	if r.pace > 0 {
		if t.meanPace == 0 {
			t.meanPace = usualPace
		}
		t.meanPace += paceSmoothing * (float64(r.pace) - t.meanPace)
	}
}

// weighed returns the daemon's own count with that of the target weighed in. The count of requests that only the
// target knows, such as those that the daemon gave up, is at most its slots; the pace changes the work left within
// minPaceFactor and maxPaceFactor, and only as far as it differs from its mean, which is part of the measured times
// already.
func (t *targetReport) weighed(own load.Backlog, now clock.Millis) load.Backlog {
	t.mu.Lock()
	defer t.mu.Unlock()
	age := now - t.at
	if t.at == 0 || age >= reportAge || !own.Known() {
		return own
	}
	weight := 1 - float64(age)/float64(reportAge)
	unknown := t.last.running + t.last.waiting - own.Running() - own.Waiting()
	extra := int(weight * float64(min(max(0, unknown), own.Slots())))
	factor := 1.0
	if t.last.pace > 0 {
		factor += weight * (min(maxPaceFactor, max(minPaceFactor, float64(t.last.pace)/t.meanPace)) - 1)
	}
	work := float64(own.Work()+clock.Millis(extra)*own.MeanTime()) * factor
	return load.NewBacklog(own.Slots(), own.Running()+extra, own.Waiting()).WithWork(clock.Millis(work), own.MeanTime()).WithCold(own.Cold())
}

// recordServed records the cost of a request that the target has run, and what the response says of the target's
// load. It returns the service time, 0 for an error: a target that fails fast must not look fast.
func (x *exchange) recordServed(a call.Response) clock.Millis {
	now := x.owner.clock.Now()
	if d, ok := x.owner.dialect.(LoadDialect); ok {
		switch r, found, err := d.TargetReport(a); {
		case err != nil:
			x.owner.meter.Add("load_report_invalid", 1)
			if x.owner.log != nil {
				x.owner.log.WithFields(logrus.Fields{"service": x.request.Service()}).WithError(err).Debug("invalid load report of the target")
			}
		case found:
			x.owner.meter.Add("load_reports", 1)
			x.owner.report.record(r, now)
		}
	}
	if result.NewAnswered(a.Status()).Failed() || x.work == nil {
		return 0
	}
	return x.owner.work.Answered(x.work, now)
}
