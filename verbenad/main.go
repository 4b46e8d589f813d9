// Command verbenad is the daemon of verbenabank: it stands beside a target,
// routes requests of callers and, with a data folder, is a control replica.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"verbenabank/verbenad/adapt/jsonc"
	"verbenabank/verbenad/command/serve"
	"verbenabank/verbenad/state/sets"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	path, check := "verbenad.jsonc", false
	flaggy.SetName("verbenad")
	flaggy.SetDescription("the daemon of verbenabank")
	flaggy.String(&path, "s", "settings", "path of the settings file")
	flaggy.Bool(&check, "c", "check", "check the settings and exit")
	flaggy.Parse()
	settings, err := jsonc.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if check {
		return
	}
	if err := run(settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func run(s sets.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d, clean, err := serve.New(s, logger(s))
	if err != nil {
		return err
	}
	defer clean()
	return d.Run(ctx)
}

func logger(s sets.Settings) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	if level, err := logrus.ParseLevel(s.LogLevel().String()); err == nil {
		l.SetLevel(level)
	}
	switch s.LogFormat().(type) {
	case sets.Plain:
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case sets.Structured:
		l.SetFormatter(&logrus.JSONFormatter{})
	}
	return l
}
