package target

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/client"
)

const (
	announceInterval = 1 * clock.Second
	adminTimeout     = 1 * clock.Second
)

// announce registers the target with the local daemon once a second, and deregisters it when a
// graceful shutdown asks for it.
func (t *Target) announce() {
	ticker := time.NewTicker(announceInterval.Duration())
	defer ticker.Stop()
	failed := false
	for {
		err := t.callAdmin(fasthttp.MethodPost, adminTimeout)
		if err != nil && !failed {
			t.log.WithError(err).Warn("daemon did not accept the announcement; retrying every second")
		}
		failed = err != nil
		select {
		case <-ticker.C:
		case done := <-t.deregistrations:
			t.deregister()
			close(done)
			return
		case <-t.stopped:
			return
		}
	}
}

// deregister tells the daemon that the target shuts down. The daemon responds once the target may
// stop. If the call fails, the target keeps serving for the rest of its drain time.
func (t *Target) deregister() {
	drain := t.settings.Behavior().DrainTime()
	start := t.clock.Now()
	err := t.callAdmin(fasthttp.MethodDelete, drain)
	if err == nil {
		return
	}
	t.log.WithError(err).Warn("daemon did not accept the deregistration; draining for the full drain time")
	time.Sleep((drain - t.clock.Now().Sub(start)).Duration())
}

// Shutdown shuts the target down gracefully: it deregisters from the local daemon, keeps serving until
// the daemon agrees or the drain time is over, and then finishes the requests in flight. It must be
// called once.
func (t *Target) Shutdown() {
	t.sendEvent(shutdownStarted{})
	if err := t.ledger.RecordShutdown(t.clock.Now()); err != nil {
		t.log.WithError(err).Warn("failed to write the shutdown to the ledger")
	}
	if t.settings.Admin() != "" {
		done := make(chan struct{})
		t.deregistrations <- done
		<-done
	}
	if err := t.app.Shutdown(); err != nil {
		t.log.WithError(err).Warn("failed to shut down the HTTP server")
	}
}

// callAdmin sends a registration (POST) or deregistration (DELETE) to the admin address of the
// local daemon. A status of 400 or above is an error.
func (t *Target) callAdmin(method string, timeout clock.Millis) error {
	payload, err := json.Marshal(struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Boot    string `json:"boot"`
	}{t.settings.Service(), t.settings.Listen(), t.boot})
	if err != nil {
		return err
	}
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + t.settings.Admin() + "/announce")
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBody(payload)
	if err := client.Do(request, response, timeout); err != nil {
		return err
	}
	if response.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("status %d", response.StatusCode())
	}
	return nil
}
