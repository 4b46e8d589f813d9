// Command vload has stand-in targets, a supervisor of the processes of a layout,
// and an open-loop load tool that measures them.
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
	flaggy.SetDescription("Stand-in targets and load for verbenabank.")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	serve, run, supervise := newTargetCommand(), newRunCommand(), newFleetCommand()
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), stopSignals()...)
	defer stop()
	var err error
	switch {
	case serve.command.Used:
		err = serve.execute(ctx, log)
	case run.command.Used:
		err = run.execute(ctx, log)
	case supervise.command.Used:
		err = supervise.execute(ctx, log)
	default:
		flaggy.ShowHelpAndExit("")
	}
	if err != nil {
		log.WithError(err).Error("vload failed")
		stop()
		os.Exit(1)
	}
}

// stopSignals returns the signals that stop the program. One that was started with nohup outlives its terminal.
func stopSignals() []os.Signal {
	list := []os.Signal{os.Interrupt, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		list = append(list, syscall.SIGHUP)
	}
	return list
}
