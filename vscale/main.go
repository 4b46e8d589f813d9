// Command vscale measures how the cost of control grows with the size of a
// fleet: stand-in daemons that speak the real protocol against three real
// control replicas.
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
	s := settings{daemon: "bin/verbenad", folder: "run/scale", output: "run/scale.json", subnet: 40, rounds: 3, most: 400, shards: 1024}
	flaggy.SetName("vscale")
	flaggy.SetDescription("measures how the cost of control grows with a fleet")
	flaggy.String(&s.daemon, "d", "daemon", "path of verbenad")
	flaggy.String(&s.folder, "f", "folder", "folder of the replicas' files; it is emptied")
	flaggy.String(&s.output, "o", "output", "path of the JSON file")
	flaggy.Int(&s.subnet, "n", "subnet", "second byte of the loopback addresses")
	flaggy.Int(&s.rounds, "r", "rounds", "how often the sizes are gone through")
	flaggy.Int(&s.most, "m", "most", "the most daemons")
	flaggy.Int(&s.shards, "s", "shards", "the most shards with live daemons")
	flaggy.Parse()
	runtime.LockOSThread() // the replicas end with the thread that started them
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// settings are the choices of the command line.
type settings struct {
	daemon string
	folder string
	output string
	subnet int
	rounds int
	most   int
	shards int
}

func run(s settings) error {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	stands := logrus.New()
	stands.SetOutput(os.Stderr)
	stands.SetLevel(logrus.ErrorLevel)
	points, broken := measure(s, logs{trial: logrus.NewEntry(log), stands: logrus.NewEntry(stands)})
	lines := fit.Lines(points)
	if err := show.Table(os.Stdout, lines); err != nil {
		return err
	}
	file, err := os.Create(s.output)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if err := show.JSON(file, lines); err != nil {
		return err
	}
	return broken
}

// logs are where the trials log and, errors only, their stand-ins.
type logs struct {
	trial  *logrus.Entry
	stands *logrus.Entry
}
