package cmds

import (
	"net/netip"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"verbenabank/verbena/query/remote"
	"verbenabank/verbena/query/show"
)

// commandLine has the variables that flaggy sets from the arguments.
type commandLine struct {
	parser *flaggy.Parser
	json   bool
	daemon string

	check, explain, diff, status, route, audit, story *flaggy.Subcommand

	folder, path, other, service, key, request, keyNumber string
}

func newCommandLine() *commandLine {
	c := &commandLine{parser: flaggy.NewParser("verbena")}
	c.parser.Description = "Answers questions about verbenabank. It changes nothing.\n" +
		"Exit status: 0 all is well, 1 a problem or a difference, 2 wrong call."
	c.parser.ShowVersionWithVersionFlag = false
	c.parser.Bool(&c.json, "j", "json", "Answer in JSON.")
	c.parser.String(&c.daemon, "d", "daemon", "Admin address of a daemon, as IP:port.")

	c.check = c.addCommand("check", "Say whether a configuration folder is valid, with every fault.")
	c.check.AddPositionalValue(&c.folder, "DIR", 1, true, "Configuration folder.")
	c.explain = c.addCommand("explain", "Say which file set a value, and what other files said.")
	c.explain.AddPositionalValue(&c.folder, "DIR", 1, true, "Configuration folder.")
	c.explain.AddPositionalValue(&c.path, "PATH", 2, false, "Such as services.catalogue.target.slots; all if not given.")
	c.diff = c.addCommand("diff", "Compare a folder with another, or with what a daemon has in force.")
	c.diff.AddPositionalValue(&c.folder, "DIR", 1, true, "Earlier folder, or the one to compare with --daemon.")
	c.diff.AddPositionalValue(&c.other, "DIR", 2, false, "Later folder.")
	c.status = c.addCommand("status", "Show the state of a daemon (needs --daemon).")
	c.route = c.addCommand("route", "Show who owns a key (needs --daemon).")
	c.route.AddPositionalValue(&c.service, "SERVICE", 1, true, "Name of the service.")
	c.route.AddPositionalValue(&c.key, "KEY", 2, true, "Key.")
	c.audit = c.addCommand("audit", "Show the trail of changes (needs --daemon).")
	c.story = c.addCommand("story", "Tell what logs in JSON say of a request or a key, in time order. Give files after --.")
	c.story.String(&c.request, "r", "request", "Id of a request.")
	c.story.String(&c.keyNumber, "k", "key", "Key of an ordered service, a number.")
	return c
}

func (c *commandLine) addCommand(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c.parser.AttachSubcommand(s, 1)
	return s
}

// parse returns the query in args and its output format. On --help, unknown
// arguments and missing values flaggy prints a message and exits the process.
func parse(args []string) (Query, show.Format, error) {
	c := newCommandLine()
	if err := c.parser.ParseArgs(args); err != nil {
		return nil, nil, &Error{op: OpParse, kind: KindSyntax, cause: merry.Wrap(err)}
	}
	var format show.Format = show.Text{}
	if c.json {
		format = show.JSON{}
	}
	query, err := c.query()
	return query, format, err
}

func (c *commandLine) query() (Query, error) {
	switch {
	case c.check.Used:
		return Check{folder: c.folder}, nil
	case c.explain.Used:
		return Explain{folder: c.folder, path: c.path}, nil
	case c.diff.Used && c.other != "":
		return Diff{from: c.folder, to: c.other}, nil
	case c.diff.Used:
		daemon, err := c.daemonAddress()
		return DiffInForce{daemon: daemon, folder: c.folder}, err
	case c.status.Used:
		return c.daemonQuery(remote.Status{})
	case c.route.Used:
		return c.daemonQuery(remote.NewRoute(c.service, c.key))
	case c.story.Used:
		return c.timelineQuery()
	case c.audit.Used:
		return c.daemonQuery(remote.Audit{})
	}
	return nil, &Error{op: OpParse, kind: KindNoCommand}
}

func (c *commandLine) timelineQuery() (Query, error) {
	files := c.parser.TrailingArguments
	if len(files) == 0 {
		files = []string{"-"}
	}
	key, err := strconv.ParseUint(c.keyNumber, 10, 32)
	switch {
	case c.request != "" && c.keyNumber == "":
		return RequestTimeline{request: c.request, files: files}, nil
	case c.request == "" && err == nil:
		return KeyTimeline{key: uint32(key), files: files}, nil
	}
	return nil, &Error{op: OpParse, kind: KindNoRequestOrKey}
}

func (c *commandLine) daemonQuery(q remote.Query) (Query, error) {
	daemon, err := c.daemonAddress()
	return DaemonQuery{daemon: daemon, request: q}, err
}

func (c *commandLine) daemonAddress() (netip.AddrPort, error) {
	daemon, err := netip.ParseAddrPort(c.daemon)
	if err != nil {
		return netip.AddrPort{}, &Error{op: OpParse, kind: KindNoDaemon}
	}
	return daemon, nil
}
