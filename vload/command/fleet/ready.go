package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/vload/state/layout"
)

const (
	askEvery   = 100 * clock.Millisecond
	askTimeout = 1 * clock.Second
)

// Ready waits until all targets are up and all daemons are ready, and every
// service answers a request.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, i := range f.layout.Instances() {
		for _, url := range f.signs(i) {
			if err := f.await(ctx, url); err != nil {
				return err
			}
		}
	}
	return nil
}

// signs returns what must answer with a status below 400 when the processes of
// an instance are ready.
func (f *Fleet) signs(i layout.Instance) []string {
	urls := []string{"http://" + i.TargetAddress() + "/health"}
	if f.daemon == "" {
		return urls
	}
	urls = append(urls, "http://"+i.AdminAddress()+"/ready")
	for _, s := range f.layout.Services() {
		urls = append(urls, "http://"+i.CallersAddress()+"/"+s.Name()+"/ready")
	}
	return urls
}

func (f *Fleet) await(ctx context.Context, url string) error {
	ticker := time.NewTicker(askEvery.Duration())
	defer ticker.Stop()
	for {
		status, err := f.get(url)
		if err == nil && status < fasthttp.StatusBadRequest {
			return nil
		}
		if err == nil {
			err = fmt.Errorf("status %d", status)
		}
		select {
		case <-ctx.Done():
			return fail("await "+url, NotReady, err)
		case <-ticker.C:
		}
	}
}

// get asks for url with every header in which a service of the layout expects a
// key.
func (f *Fleet) get(url string) (int, error) {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI(url)
	for _, s := range f.layout.Services() {
		if s.KeyHeader() != "" {
			request.Header.Set(s.KeyHeader(), "ready")
		}
	}
	err := fasthttp.DoTimeout(request, answer, askTimeout.Duration())
	return answer.StatusCode(), err
}
