// Command vload provides stand-in targets, a supervisor for the processes of a layout,
// and an open-loop load generator that measures them.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"
)

func main() {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true})
	flaggy.SetName("vload")
	flaggy.SetDescription("Stand-in targets and load generator for verbenabank.")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	target, run, fleet := newTargetCommand(), newRunCommand(), newFleetCommand()
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), stopSignals()...)
	defer stop()
	var err error
	switch {
	case target.command.Used:
		err = target.execute(ctx, log)
	case run.command.Used:
		err = run.execute(ctx, log)
	case fleet.command.Used:
		err = fleet.execute(ctx, log)
	default:
		flaggy.ShowHelpAndExit("")
	}
	if err != nil {
		log.WithError(err).Error("vload failed")
		stop()
		os.Exit(1)
	}
}

// stopSignals returns the signals that shut the program down. SIGHUP is left out if it
// was ignored at the start, so that a process started with nohup outlives its
// terminal.
func stopSignals() []os.Signal {
	list := []os.Signal{os.Interrupt, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		list = append(list, syscall.SIGHUP)
	}
	return list
}
