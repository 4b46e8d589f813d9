package fleet

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/adapt/proc"
	"verbenabank/vload/command/roster"
	"verbenabank/vload/command/target"
	"verbenabank/vload/state/layout"
)

const tuneTimeout = 2 * clock.Second

// launch starts the process called name and tells the control goroutine when it
// ends.
func (f *Fleet) launch(name string) {
	folder, role := filepath.Join(f.folder, filepath.Dir(name)), filepath.Base(name)
	binary, arguments := f.daemon, []string{"--settings", conf.DaemonFile}
	if strings.HasSuffix(name, roster.TargetSuffix) {
		binary, arguments = f.load, []string{"target", conf.TargetFile}
	}
	p, err := proc.Start(binary, folder, role+".log", arguments...)
	if err != nil {
		f.waits.Go(func() { f.tell(exited{name: name, err: err}) })
		return
	}
	f.processes[name] = p
	f.waits.Go(func() {
		err := p.Wait()
		f.tell(exited{name: name, err: err})
	})
}

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
		f.log.WithError(err).Warnf("%s got no signal", name)
	}
}

// adjust tunes a target without holding up the control goroutine.
func (f *Fleet) adjust(e roster.Adjust) {
	address := ""
	for _, i := range f.layout.Instances() {
		if i.Name()+roster.TargetSuffix == e.Name() {
			address = i.TargetAddress()
		}
	}
	f.waits.Go(func() {
		if !f.sleep(e.After()) {
			return
		}
		text, err := target.EncodeTuning(e.Tuning())
		if err == nil {
			err = post("http://"+address+target.TunePath, text)
		}
		if err != nil {
			f.log.WithError(err).Warnf("%s was not tuned", e.Name())
		}
	})
}

// sleep waits for a time. It reports false if the fleet stopped before.
func (f *Fleet) sleep(span clock.Millis) bool {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-f.stopped:
		return false
	}
}

func post(url string, text []byte) error {
	request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(answer)
	request.SetRequestURI(url)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(text)
	return fasthttp.DoTimeout(request, answer, tuneTimeout.Duration())
}

// replace puts a file into the operators' folder at once, as an editor does.
func (f *Fleet) replace(e roster.Write) {
	path := filepath.Join(f.folder, conf.ConfigurationFolder, e.Name())
	part := filepath.Join(f.folder, "."+e.Name())
	err := os.WriteFile(part, e.Content(), 0o644)
	if err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		f.log.WithError(err).Warnf("%s was not replaced", e.Name())
	}
}

// after tells the control goroutine an event after a time.
func (f *Fleet) after(span clock.Millis, e event) *time.Timer {
	return time.AfterFunc(span.Duration(), func() { f.tell(e) })
}

func (f *Fleet) tell(e event) {
	select {
	case f.events <- e:
	case <-f.stopped:
	}
}

func (f *Fleet) replica(i layout.Instance) bool {
	for _, name := range f.layout.Replicas() {
		if name == i.Name() {
			return true
		}
	}
	return false
}
