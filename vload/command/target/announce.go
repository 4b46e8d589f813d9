package target

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
)

const (
	announceEvery = 1 * clock.Second
	adminTimeout  = 1 * clock.Second
)

// announce tells the daemon beside, once a second, that the target is up, and
// at last that it leaves.
func (t *Target) announce() {
	ticker := time.NewTicker(announceEvery.Duration())
	defer ticker.Stop()
	failed := false
	for {
		err := t.admin(fasthttp.MethodPost, adminTimeout)
		if err != nil && !failed {
			t.log.WithError(err).Warn("daemon does not take announcements")
		}
		failed = err != nil
		select {
		case <-ticker.C:
		case told := <-t.leaves:
			t.withdraw()
			close(told)
			return
		case <-t.stopped:
			return
		}
	}
}

// withdraw tells the daemon that the target leaves. The daemon answers when the
// target may stop; without an answer the target goes on for its drain time.
func (t *Target) withdraw() {
	drain := t.settings.Behavior().DrainTime()
	begin := t.clock.Now()
	err := t.admin(fasthttp.MethodDelete, drain)
	if err == nil {
		return
	}
	t.log.WithError(err).Warn("daemon does not take the leave")
	time.Sleep((drain - t.clock.Now().Sub(begin)).Duration())
}

// Shutdown tells the daemon beside that the target is about to stop, goes on until
// the daemon agrees, at most for its drain time, and then finishes what is in
// flight. It must be called once.
func (t *Target) Shutdown() {
	t.tell(left{})
	if err := t.ledger.RecordShutdown(t.clock.Now()); err != nil {
		t.log.WithError(err).Warn("leave is not in the ledger")
	}
	if t.settings.Admin() != "" {
		told := make(chan struct{})
		t.leaves <- told
		<-told
	}
	if err := t.app.Shutdown(); err != nil {
		t.log.WithError(err).Warn("stop of the server failed")
	}
}

func (t *Target) admin(method string, timeout clock.Millis) error {
	text, err := json.Marshal(struct {
		Service string `json:"service"`
		Address string `json:"address"`
		Boot    string `json:"boot"`
	}{t.settings.Service(), t.settings.Listen(), t.boot})
	if err != nil {
		return err
	}
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI("http://" + t.settings.Admin() + "/announce")
	request.Header.SetMethod(method)
	request.Header.SetContentType("application/json")
	request.SetBody(text)
	if err := fasthttp.DoTimeout(request, answer, timeout.Duration()); err != nil {
		return err
	}
	if answer.StatusCode() >= fasthttp.StatusBadRequest {
		return fmt.Errorf("status %d", answer.StatusCode())
	}
	return nil
}
