package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"verbenabank/core/clock"
	"verbenabank/vload/adapt/conf"
	"verbenabank/vload/command/fleet"
	"verbenabank/vload/state/layout"
)

// readyTimeout is how long a fleet may take to start and become ready.
const readyTimeout = 30 * clock.Second

// fleetCommand is the subcommand that runs the processes of a layout.
type fleetCommand struct {
	command *flaggy.Subcommand
	path    string
	fleet   fleetOptions
}

// fleetOptions holds the flags of all subcommands that start a fleet.
type fleetOptions struct {
	folder     string
	daemonPath string
	subnet     int
}

func (o *fleetOptions) addFlags(c *flaggy.Subcommand) {
	o.folder = "run"
	o.daemonPath = filepath.Join(filepath.Dir(executablePath()), "verbenad")
	c.String(&o.folder, "", "folder", "folder for settings, logs and ledgers")
	c.String(&o.daemonPath, "", "daemon", "path of the verbenad binary")
	c.Int(&o.subnet, "", "subnet", "subnet of the addresses, which are 127.SUBNET.zone.n")
}

func executablePath() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}

// start starts the processes of the layout, with daemons or only the targets, and
// waits until they are ready. The second result stops them.
func (o *fleetOptions) start(ctx context.Context, l layout.Layout, daemons bool, log *logrus.Logger) (*fleet.Fleet, func() error, error) {
	daemonPath := ""
	if daemons {
		path, err := filepath.Abs(o.daemonPath)
		if err != nil {
			return nil, nil, err
		}
		daemonPath = path
	}
	f, stop, err := fleet.New(fleet.WithLayout(l), fleet.WithFolder(o.folder),
		fleet.WithBinaries(executablePath(), daemonPath), fleet.WithLog(log))
	if err != nil {
		return nil, nil, err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout.Duration())
	defer cancel()
	if err := f.Ready(readyCtx); err != nil {
		if stopErr := stop(); stopErr != nil {
			log.WithError(stopErr).Error("failed to stop the fleet")
		}
		return nil, nil, err
	}
	return f, stop, nil
}

func newFleetCommand() *fleetCommand {
	s := &fleetCommand{command: flaggy.NewSubcommand("fleet")}
	s.command.Description = "Run the processes of a layout until a signal, then shut them down gracefully."
	s.command.AddPositionalValue(&s.path, "LAYOUT", 1, true, "layout file")
	s.fleet.addFlags(s.command)
	flaggy.AttachSubcommand(s.command, 1)
	return s
}

func (s *fleetCommand) execute(ctx context.Context, log *logrus.Logger) error {
	l, err := conf.ReadLayout(s.path)
	if err != nil {
		return err
	}
	l = l.WithSubnet(s.fleet.subnet)
	_, stop, err := s.fleet.start(ctx, l, true, log)
	if err != nil {
		return err
	}
	for _, sv := range l.Services() {
		fmt.Printf("try: curl -i http://%s/%s/key-1\n", l.Instances()[0].CallersAddress(), sv.Name())
	}
	fmt.Println("press Ctrl-C to stop all processes")
	<-ctx.Done()
	return stop()
}
