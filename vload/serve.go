package main

import (
	"context"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/command/target"
)

// serve is the command line of a stand-in target.
type serve struct {
	command *flaggy.Subcommand
	path    string
}

func newServe() *serve {
	s := &serve{command: flaggy.NewSubcommand("target")}
	s.command.Description = "Run a stand-in target until a signal, then leave gracefully."
	s.command.AddPositionalValue(&s.path, "SETTINGS", 1, true, "settings file of the target")
	flaggy.AttachSubcommand(s.command, 1)
	return s
}

func (s *serve) execute(ctx context.Context, log *logrus.Logger) error {
	settings, err := conf.ReadTarget(s.path)
	if err != nil {
		return err
	}
	t, stop, err := target.New(target.WithSettings(settings), target.WithLog(log))
	if err != nil {
		return err
	}
	defer stop()
	stopping, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer func() {
		cancel()
		group.Wait()
	}()
	group.Go(func() {
		<-stopping.Done()
		t.Shutdown()
	})
	return t.Serve()
}
