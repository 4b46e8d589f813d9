// Package start runs a daemon as a process: it parses the command line, loads the settings, sets up the log
// and handles signals.
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
	"verbenabank/verbenad/command/memory"
	"verbenabank/verbenad/command/serve"
	"verbenabank/verbenad/state/config"
)

// Exit codes of the process.
const (
	ExitFailed   = 1 // the daemon could not start or failed
	ExitSettings = 2 // the settings cannot be read or are not valid
)

// reloadInterval is how often the settings file is checked for changes, in addition to SIGHUP.
const reloadInterval = 2 * time.Second

// Run runs the daemon until SIGINT or SIGTERM, and returns the exit code of the process. It logs to out.
// The function build returns the options of the daemon for the settings.
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
	p := &process{path: path, content: content, signals: signals, log: newLogger(settings, lines)}
	p.log.WithField("process", os.Getpid()).Info("start: process begins")
	memory.SetSoftLimit(serve.ProcessMB(settings))
	code := 0
	if err := p.run(settings, append(build(settings), serve.WithDroppedLogLines(lines.Dropped))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = ExitFailed
	}
	p.log.WithField("process", os.Getpid()).WithField("code", code).Info("start: process ends")
	return code
}

// process is a running daemon with its settings file and signals.
type process struct {
	path    string // of the settings file
	content []byte // of the settings file when it was last read
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
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	lifetime, end := context.WithCancel(context.Background())
	defer end()
	go p.handleStops(lifetime, stop)
	go p.watchSettings(lifetime)
	return d.Run(ctx)
}

// handleStops shuts the daemon down at a stop signal. Further stop signals are logged and have no effect.
// It returns when ctx ends.
func (p *process) handleStops(ctx context.Context, stop func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-p.signals.Stops():
			p.log.WithField("signal", s.String()).Info("start: asked to stop")
			stop()
		}
	}
}

// watchSettings reloads the settings at a signal and when their file has changed, also during a graceful
// shutdown, until ctx ends. Reading the file may block without limit, as on a hung file system, so nothing
// may wait for this goroutine.
func (p *process) watchSettings(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.signals.Reloads():
			p.log.Info("start: asked to reload the settings")
			p.reload()
		case <-t.C:
			p.reload()
		}
	}
}

// reload applies the settings if the content of the file has changed. Settings that cannot be read or are
// not valid leave the previous ones in force.
func (p *process) reload() {
	content, err := jsonc.Read(p.path)
	if err != nil {
		p.log.WithError(err).Warn("start: settings file cannot be read; the previous settings stay in force")
		return
	}
	if bytes.Equal(content, p.content) {
		return
	}
	p.content = content
	s, err := jsonc.Parse(p.path, content)
	if err != nil {
		p.log.WithError(err).Error("start: settings are not valid; the previous settings stay in force")
		return
	}
	p.daemon.Reload(s)
}

// newLogger returns a logger with the level and format of the settings.
func newLogger(s config.Settings, out io.Writer) *logrus.Logger {
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
