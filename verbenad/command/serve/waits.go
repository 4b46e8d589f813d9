package serve

import (
	"expvar"
	"time"

	"verbenabank/core/command/press"
	"verbenabank/verbenad/adapt/sched"
)

// waitsInterval is the interval of the measurements of waits.
const waitsInterval = 200 * time.Millisecond

// schedLatency is how long nine in ten goroutines waited for a processor at most in the last waitsInterval.
var schedLatency = expvar.NewInt("verbenad.sched_latency_ms")

// measureWaits measures how long the goroutines of the process wait for a processor, and asks other daemons for fewer
// requests if that is too long. It blocks until the daemon ends.
func (d *Daemon) measureWaits() {
	t := time.NewTicker(waitsInterval)
	defer t.Stop()
	monitor, controller := sched.New(), press.Controller{}
	for saturated := false; ; {
		select {
		case <-d.ctx.Done():
			return
		case <-t.C:
		}
		latency := monitor.TakeLatency()
		schedLatency.Set(int64(latency))
		holdOff := controller.Record(latency)
		d.owner.SetHoldOff(holdOff)
		if saturated != (holdOff > 0) {
			saturated = holdOff > 0
			d.logSaturation(saturated, int64(latency))
		}
	}
}

// logSaturation logs that the process begins or ends to have too little processor time.
func (d *Daemon) logSaturation(saturated bool, latencyMs int64) {
	e := d.logger().WithField("latency_ms", latencyMs)
	if saturated {
		e.Warn("serve: goroutines wait long for a processor, other daemons keep requests back")
		return
	}
	e.Info("serve: goroutines get a processor in time again")
}
