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

const readyWithin = 30 * clock.Second

// supervise is the command line of the supervisor.
type supervise struct {
	command *flaggy.Subcommand
	path    string
	place   place
}

// place is where a fleet runs.
type place struct {
	folder string
	daemon string
	subnet int
}

func (p *place) flags(c *flaggy.Subcommand) {
	p.folder = "run"
	p.daemon = filepath.Join(filepath.Dir(executable()), "verbenad")
	c.String(&p.folder, "", "folder", "folder of settings, logs and ledgers")
	c.String(&p.daemon, "", "daemon", "path of verbenad")
	c.Int(&p.subnet, "", "subnet", "addresses are 127.SUBNET.zone.n")
}

func executable() string {
	path, err := os.Executable()
	if err != nil {
		return os.Args[0]
	}
	return path
}

// start starts a fleet, with daemons or without, and waits until it is ready. The
// second result stops it.
func (p *place) start(ctx context.Context, l layout.Layout, daemons bool, log *logrus.Logger) (*fleet.Fleet, func() error, error) {
	daemon := ""
	if daemons {
		path, err := filepath.Abs(p.daemon)
		if err != nil {
			return nil, nil, err
		}
		daemon = path
	}
	f, stop, err := fleet.New(fleet.WithLayout(l), fleet.WithFolder(p.folder),
		fleet.WithBinaries(executable(), daemon), fleet.WithLog(log))
	if err != nil {
		return nil, nil, err
	}
	within, cancel := context.WithTimeout(ctx, readyWithin.Duration())
	defer cancel()
	if err := f.Ready(within); err != nil {
		if stopped := stop(); stopped != nil {
			log.WithError(stopped).Error("fleet did not stop well")
		}
		return nil, nil, err
	}
	return f, stop, nil
}

func newSupervise() *supervise {
	s := &supervise{command: flaggy.NewSubcommand("fleet")}
	s.command.Description = "Run the processes of a layout until a signal, then stop them gracefully."
	s.command.AddPositionalValue(&s.path, "LAYOUT", 1, true, "layout file")
	s.place.flags(s.command)
	flaggy.AttachSubcommand(s.command, 1)
	return s
}

func (s *supervise) execute(ctx context.Context, log *logrus.Logger) error {
	l, err := conf.ReadLayout(s.path)
	if err != nil {
		return err
	}
	l = l.WithSubnet(s.place.subnet)
	_, stop, err := s.place.start(ctx, l, true, log)
	if err != nil {
		return err
	}
	for _, v := range l.Services() {
		fmt.Printf("try: curl -i http://%s/%s/key-1\n", l.Instances()[0].CallersAddress(), v.Name())
	}
	fmt.Println("an interrupt stops all processes")
	<-ctx.Done()
	return stop()
}
