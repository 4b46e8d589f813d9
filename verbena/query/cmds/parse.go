package cmds

import (
	"net/netip"
	"strconv"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"

	"verbenabank/verbena/query/remote"
	"verbenabank/verbena/query/show"
)

// commands are the parts of the command line as flaggy fills them in.
type commands struct {
	parser *flaggy.Parser
	json   bool
	daemon string

	check, explain, diff, status, route, audit, story *flaggy.Subcommand

	folder, path, other, service, key, request, number string
}

func newCommands() *commands {
	c := &commands{parser: flaggy.NewParser("verbena")}
	c.parser.Description = "Answers questions about verbenabank. It changes nothing.\n" +
		"Exit status: 0 all is well, 1 a problem or a difference, 2 wrong call."
	c.parser.ShowVersionWithVersionFlag = false
	c.parser.Bool(&c.json, "j", "json", "Answer in JSON.")
	c.parser.String(&c.daemon, "d", "daemon", "Admin address of a daemon, as IP:port.")

	c.check = c.add("check", "Say whether a configuration folder is valid, with every fault.")
	c.check.AddPositionalValue(&c.folder, "DIR", 1, true, "Configuration folder.")
	c.explain = c.add("explain", "Say which file set a value, and what other files said.")
	c.explain.AddPositionalValue(&c.folder, "DIR", 1, true, "Configuration folder.")
	c.explain.AddPositionalValue(&c.path, "PATH", 2, false, "Such as services.catalogue.target.slots; all if not given.")
	c.diff = c.add("diff", "Compare a folder with another, or with what a daemon has in force.")
	c.diff.AddPositionalValue(&c.folder, "DIR", 1, true, "Earlier folder, or the one to compare with --daemon.")
	c.diff.AddPositionalValue(&c.other, "DIR", 2, false, "Later folder.")
	c.status = c.add("status", "Show the state of a daemon (needs --daemon).")
	c.route = c.add("route", "Show who owns a key (needs --daemon).")
	c.route.AddPositionalValue(&c.service, "SERVICE", 1, true, "Name of the service.")
	c.route.AddPositionalValue(&c.key, "KEY", 2, true, "Key.")
	c.audit = c.add("audit", "Show the trail of changes (needs --daemon).")
	c.story = c.add("story", "Tell what logs in JSON say of a request or a key, in time order. Give files after --.")
	c.story.String(&c.request, "r", "request", "Id of a request.")
	c.story.String(&c.number, "k", "key", "Key of an ordered service, a number.")
	return c
}

func (c *commands) add(name, description string) *flaggy.Subcommand {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	c.parser.AttachSubcommand(s, 1)
	return s
}

// parse returns the query in args. Help, unknown words and missing values are
// answered by flaggy, which ends the program.
func parse(args []string) (Query, show.Form, error) {
	c := newCommands()
	if err := c.parser.ParseArgs(args); err != nil {
		return nil, nil, &Error{op: OpParse, kind: KindSyntax, cause: merry.Wrap(err)}
	}
	var form show.Form = show.Text{}
	if c.json {
		form = show.JSON{}
	}
	query, err := c.query()
	return query, form, err
}

func (c *commands) query() (Query, error) {
	switch {
	case c.check.Used:
		return Check{folder: c.folder}, nil
	case c.explain.Used:
		return Explain{folder: c.folder, path: c.path}, nil
	case c.diff.Used && c.other != "":
		return Diff{from: c.folder, to: c.other}, nil
	case c.diff.Used:
		daemon, err := c.address()
		return DiffInForce{daemon: daemon, folder: c.folder}, err
	case c.status.Used:
		return c.ask(remote.Status{})
	case c.route.Used:
		return c.ask(remote.NewRoute(c.service, c.key))
	case c.story.Used:
		return c.tell()
	case c.audit.Used:
		return c.ask(remote.Audit{})
	}
	return nil, &Error{op: OpParse, kind: KindNoCommand}
}

func (c *commands) tell() (Query, error) {
	files := c.parser.TrailingArguments
	if len(files) == 0 {
		files = []string{"-"}
	}
	key, err := strconv.ParseUint(c.number, 10, 32)
	switch {
	case c.request != "" && c.number == "":
		return Story{request: c.request, files: files}, nil
	case c.request == "" && err == nil:
		return StoryOfKey{key: uint32(key), files: files}, nil
	}
	return nil, &Error{op: OpParse, kind: KindNoSubject}
}

func (c *commands) ask(q remote.Question) (Query, error) {
	daemon, err := c.address()
	return Ask{daemon: daemon, question: q}, err
}

func (c *commands) address() (netip.AddrPort, error) {
	daemon, err := netip.ParseAddrPort(c.daemon)
	if err != nil {
		return netip.AddrPort{}, &Error{op: OpParse, kind: KindNoDaemon}
	}
	return daemon, nil
}
