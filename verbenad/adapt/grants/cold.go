package grants

import (
	"context"
	"io"
	"net/http"

	"verbenabank/core/clock"
)

// AskCold asks the current process for how long it stays cold, from another goroutine. done gets the time, 0 if the
// process is warm, and whether it has answered.
func (c *Client) AskCold(done func(left clock.Millis, ok bool)) {
	c.mu.Lock()
	s := c.session
	c.mu.Unlock()
	go func() {
		if s == nil {
			done(0, false)
			return
		}
		left, err := s.askCold()
		if err != nil {
			c.log.WithError(err).Debug("keeper: the target does not say whether it is cold")
		}
		done(left, err == nil)
	}()
}

func (s *session) askCold() (clock.Millis, error) {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.process.address+s.healthPath(s.process.service), http.NoBody)
	if err != nil {
		return 0, s.unidentified(err)
	}
	resp, err := s.asker.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes)); err != nil {
		return 0, s.unidentified(err)
	}
	if s.dialect.ProcessName(resp.Header.Get) != s.process.name {
		return 0, &Error{op: "ask " + s.process.name, kind: OtherProcess}
	}
	left, ok := s.dialect.ColdTime(resp.Header.Get)
	if !ok {
		return 0, s.unidentified(nil)
	}
	return left, nil
}
