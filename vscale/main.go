// Command vscale measures how the cost of the control plane grows with the size of
// the fleet. It runs three real control replicas against stand-in daemons that speak
// the real protocol.
package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/integrii/flaggy"
	"github.com/sirupsen/logrus"

	"verbenabank/vscale/query/fit"
	"verbenabank/vscale/query/show"
)

func main() {
	o := options{daemonPath: "bin/verbenad", folder: "run/scale", output: "run/scale.json", subnet: 40, rounds: 3, maxDaemons: 400, maxShards: 1024}
	flaggy.SetName("vscale")
	flaggy.SetDescription("measures how the cost of control grows with a fleet")
	flaggy.String(&o.daemonPath, "d", "daemon", "path of verbenad")
	flaggy.String(&o.folder, "f", "folder", "folder of the replicas' files; it is emptied")
	flaggy.String(&o.output, "o", "output", "path of the JSON file")
	flaggy.Int(&o.subnet, "n", "subnet", "second byte of the loopback addresses")
	flaggy.Int(&o.rounds, "r", "rounds", "how often the sizes are gone through")
	flaggy.Int(&o.maxDaemons, "m", "most", "the most daemons")
	flaggy.Int(&o.maxShards, "s", "shards", "the most shards with live daemons")
	flaggy.Bool(&o.deliveryOnly, "c", "delivery", "only how long after its acknowledgement each daemon uses a configuration")
	flaggy.Parse()
	runtime.LockOSThread() // the kernel kills the replicas when the thread that started them ends (Pdeathsig)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// options are the values of the flags.
type options struct {
	daemonPath string
	folder     string
	output     string
	subnet     int
	rounds     int
	maxDaemons int
	maxShards  int

	deliveryOnly bool
}

func run(o options) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	standIns := logrus.New()
	standIns.SetOutput(os.Stderr)
	standIns.SetLevel(logrus.ErrorLevel)
	loggers := loggers{trial: logrus.NewEntry(log), standIns: logrus.NewEntry(standIns)}
	measureAll := measure
	if o.deliveryOnly {
		measureAll = measureDelivery
	}
	points, measureErr := measureAll(o, loggers)
	regressions := fit.LeastSquares(points)
	if err := show.Table(os.Stdout, regressions); err != nil {
		return err
	}
	file, err := os.Create(o.output)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := show.JSON(file, regressions); err != nil {
		return err
	}
	return measureErr
}

// loggers has one logger for the trials and one, for errors only, for their stand-in
// daemons.
type loggers struct {
	trial    *logrus.Entry
	standIns *logrus.Entry
}
