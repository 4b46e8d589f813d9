// Package start runs a daemon as a process: its command line, settings, log and signals.
package start

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"verbenabank/verbenad/adapt/jsonc"
	"verbenabank/verbenad/adapt/logs"
	"verbenabank/verbenad/adapt/sigs"
	"verbenabank/verbenad/command/serve"
	"verbenabank/verbenad/state/config"
)

// Exit codes.
const (
	ExitFailed   = 1
	ExitSettings = 2
)

// reloadEvery is how often the settings file is looked at, besides at SIGHUP.
const reloadEvery = 2 * time.Second

// Run runs the program until it is told to stop, and returns its exit code. Logs go to out.
func Run(name string, out io.Writer, build func(config.Settings) []serve.Option) int {
	signals := sigs.New()
	path, check := "verbenad.jsonc", false
	flaggy.SetName(name)
	flaggy.SetDescription("the daemon of verbenabank")
	flaggy.String(&path, "s", "settings", "path of the settings file")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	content, err := jsonc.Read(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	settings, err := jsonc.Parse(path, content)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitSettings
	}
	if check {
		return 0
	}
	lines, flush := logs.New(out)
	defer flush()
	p := &process{path: path, content: content, signals: signals, log: logger(settings, lines)}
	p.log.WithField("process", os.Getpid()).Info("start: process begins")
	code := 0
	if err := p.run(settings, append(build(settings), serve.WithDroppedLogLines(lines.Dropped))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = ExitFailed
	}
	p.log.WithField("process", os.Getpid()).WithField("code", code).Info("start: process ends")
	return code
}

// process is a running daemon with what may change it from outside.
type process struct {
	path    string // of the settings file
	content []byte // of the settings file when it was last looked at
	signals *sigs.Signals
	log     *logrus.Logger
	daemon  *serve.Daemon
}

func (p *process) run(s config.Settings, options []serve.Option) error {
	d, clean, err := serve.New(s, p.log, options...)
	if err != nil {
		return err
	}
	defer clean()
	p.daemon = d
	running, stop := context.WithCancel(context.Background())
	defer stop()
	life, end := context.WithCancel(context.Background())
	defer end()
	go p.obey(life, stop)
	go p.follow(life)
	return d.Run(running)
}

// obey stops the daemon as signals ask, until life ends.
func (p *process) obey(life context.Context, stop func()) {
	for {
		select {
		case <-life.Done():
			return
		case s := <-p.signals.Stops():
			p.log.WithField("signal", s.String()).Info("start: asked to stop")
			stop()
		}
	}
}

// follow reloads the settings as signals ask and when their file changed, until life ends, while
// the daemon stops too. It may wait for the file for any time, so nothing waits for it.
func (p *process) follow(life context.Context) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	for {
		select {
		case <-life.Done():
			return
		case <-p.signals.Reloads():
			p.log.Info("start: asked to reload the settings")
			p.reload()
		case <-t.C:
			p.reload()
		}
	}
}

// reload takes over the settings of the file if its content changed.
func (p *process) reload() {
	content, err := jsonc.Read(p.path)
	if err != nil {
		p.log.WithError(err).Warn("start: the settings file cannot be read, the last ones stay in force")
		return
	}
	if bytes.Equal(content, p.content) {
		return
	}
	p.content = content
	s, err := jsonc.Parse(p.path, content)
	if err != nil {
		p.log.WithError(err).Error("start: the settings are not valid, the last ones stay in force")
		return
	}
	p.daemon.Reload(s)
}

func logger(s config.Settings, out io.Writer) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(out)
	if level, err := logrus.ParseLevel(s.LogLevel().String()); err == nil {
		l.SetLevel(level)
	}
	switch s.LogFormat().(type) {
	case config.Plain:
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case config.Structured:
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	}
	return l
}
