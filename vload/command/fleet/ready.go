package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/client"
	"verbenabank/vload/state/layout"
)

const (
	pollInterval = 100 * clock.Millisecond
	pollTimeout  = 1 * clock.Second
)

// Ready waits until all targets are healthy, all daemons are ready, and every service responds through
// every daemon. It fails with NotReady when the context ends first.
func (f *Fleet) Ready(ctx context.Context) error {
	for _, i := range f.layout.Instances() {
		for _, url := range f.readinessURLs(i) {
			if err := f.awaitReady(ctx, url); err != nil {
				return err
			}
		}
	}
	return nil
}

// readinessURLs returns the URLs that respond with a status below 400 once the processes of an instance
// are ready.
func (f *Fleet) readinessURLs(i layout.Instance) []string {
	urls := []string{"http://" + i.TargetAddress() + "/health"}
	if f.daemonPath == "" {
		return urls
	}
	urls = append(urls, "http://"+i.AdminAddress()+"/ready")
	for _, s := range f.layout.Services() {
		urls = append(urls, "http://"+i.CallersAddress()+"/"+s.Name()+"/ready")
	}
	return urls
}

// awaitReady polls a URL until it responds with a status below 400.
func (f *Fleet) awaitReady(ctx context.Context, url string) error {
	ticker := time.NewTicker(pollInterval.Duration())
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
			return fail("wait for "+url, NotReady, err)
		case <-ticker.C:
		}
	}
}

// get returns the status of a GET request. The request carries a key in every header from which a
// service of the layout takes its key.
func (f *Fleet) get(url string) (int, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	for _, s := range f.layout.Services() {
		if s.KeyHeader() != "" {
			request.Header.Set(s.KeyHeader(), "ready")
		}
	}
	err := client.Do(request, response, pollTimeout)
	return response.StatusCode(), err
}
