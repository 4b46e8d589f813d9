package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/client"
	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/adapt/proc"
	"verbenabank/vload/command/roster"
	"verbenabank/vload/command/target"
	"verbenabank/vload/state/layout"
)

const tuneTimeout = 2 * clock.Second

// launch starts the process with that name in the folder of its instance, and sends processExited when
// it exits. If the process cannot be started, it sends processExited with the error.
func (f *Fleet) launch(name string) {
	folder, role := filepath.Join(f.folder, filepath.Dir(name)), filepath.Base(name)
	binary, arguments := f.daemonPath, []string{"--settings", conf.DaemonFile}
	if strings.HasSuffix(name, roster.TargetSuffix) {
		binary, arguments = f.vloadPath, []string{"target", conf.TargetFile}
	}
	p, err := proc.Start(binary, folder, role+".log", arguments...)
	if err != nil {
		f.background.Go(func() { f.sendEvent(processExited{name: name, err: err}) })
		return
	}
	f.processes[name] = p
	f.background.Go(func() {
		err := p.Wait()
		f.sendEvent(processExited{name: name, err: err})
	})
}

// signal sends a signal to the process with that name. It does nothing if the process does not run.
func (f *Fleet) signal(name string, s roster.Signal) {
	p, ok := f.processes[name]
	if !ok {
		return
	}
	signals := map[roster.Signal]syscall.Signal{
		roster.Terminate: syscall.SIGTERM, roster.Kill: syscall.SIGKILL,
		roster.Stop: syscall.SIGSTOP, roster.Continue: syscall.SIGCONT,
	}
	if err := p.Signal(signals[s]); err != nil {
		f.log.WithError(err).Warnf("failed to send a signal to %s", name)
	}
}

// applyTuning posts a tuning to a target after its delay, in the background so that the control
// goroutine is not blocked.
func (f *Fleet) applyTuning(e roster.SetTuning) {
	address := ""
	for _, i := range f.layout.Instances() {
		if i.Name()+roster.TargetSuffix == e.Name() {
			address = i.TargetAddress()
		}
	}
	f.background.Go(func() {
		if !f.sleep(e.Delay()) {
			return
		}
		payload, err := target.EncodeTuning(e.Tuning())
		if err == nil {
			err = post("http://"+address+target.TunePath, payload)
		}
		if err != nil {
			f.log.WithError(err).Warnf("failed to change the behavior of %s", e.Name())
		}
	})
}

// sleep waits for the delay. It reports false if the fleet stops first.
func (f *Fleet) sleep(delay clock.Millis) bool {
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.stopped:
		return false
	}
}

// post sends a payload with the HTTP method POST. It does not check the status of the response.
func post(url string, payload []byte) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(payload)
	return client.Do(request, response, tuneTimeout)
}

// replaceFile replaces a file of the configuration folder atomically, by a rename, as editors do.
func (f *Fleet) replaceFile(e roster.ReplaceFile) {
	path := filepath.Join(f.folder, conf.ConfigurationFolder, e.Name())
	temporary := filepath.Join(f.folder, "."+e.Name())
	err := os.WriteFile(temporary, e.Content(), 0o644)
	if err == nil {
		err = os.Rename(temporary, path)
	}
	if err != nil {
		f.log.WithError(err).Warnf("failed to replace configuration file %s", e.Name())
	}
}

// sendAfter sends an event to the control goroutine after a delay, unless the timer is stopped before.
func (f *Fleet) sendAfter(delay clock.Millis, e event) *time.Timer {
	return time.AfterFunc(delay.Duration(), func() { f.sendEvent(e) })
}

// sendEvent hands an event to the control goroutine. It drops the event once the fleet has stopped.
func (f *Fleet) sendEvent(e event) {
	select {
	case f.events <- e:
	case <-f.stopped:
	}
}

// isReplica reports whether the daemon of an instance is a control replica.
func (f *Fleet) isReplica(i layout.Instance) bool {
	for _, name := range f.layout.Replicas() {
		if name == i.Name() {
			return true
		}
	}
	return false
}
