// Package cmds parses the command line and executes its query.
package cmds

import (
	"fmt"
	"io"
	"net/netip"

	"verbenabank/verbena/query/local"
	"verbenabank/verbena/query/remote"
	"verbenabank/verbena/query/show"
)

// Query is a parsed command line: Check, Explain, Diff, DiffInForce, DaemonQuery,
// RequestTimeline or KeyTimeline.
type Query interface{ query() }

// Check validates a configuration folder.
type Check struct{ folder string }

// Explain reports which files of a folder set the value at a path.
type Explain struct{ folder, path string }

// Diff compares the configurations of two folders.
type Diff struct{ from, to string }

// DiffInForce compares the configuration that a daemon has in force with that of a
// folder.
type DiffInForce struct {
	daemon netip.AddrPort
	folder string
}

// DaemonQuery sends a query to the admin API of a daemon.
type DaemonQuery struct {
	daemon  netip.AddrPort
	request remote.Query
}

// RequestTimeline collects the log entries about a request.
type RequestTimeline struct {
	request string
	files   []string
}

// KeyTimeline collects the log entries about a key of an ordered service.
type KeyTimeline struct {
	key   uint32
	files []string
}

func (RequestTimeline) query() {}
func (KeyTimeline) query()     {}
func (Check) query()           {}
func (Explain) query()         {}
func (Diff) query()            {}
func (DiffInForce) query()     {}
func (DaemonQuery) query()     {}

// Run executes the command line args, without the program name, and returns the
// exit status. The report goes to out, errors go to errs.
func Run(args []string, out, errs io.Writer) show.Status {
	query, format, err := parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "verbena:", err)
		return show.Usage
	}
	report, err := execute(query)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "verbena:", err)
		return show.Problem
	}
	if err := show.Write(out, format, report); err != nil {
		_, _ = fmt.Fprintln(errs, "verbena: write the answer:", err)
		return show.Problem
	}
	return report.Status()
}

func execute(q Query) (show.Report, error) {
	switch q := q.(type) {
	case Check:
		return local.Check(q.folder)
	case Explain:
		return local.Explain(q.folder, q.path)
	case Diff:
		return local.Diff(q.from, q.to)
	case DiffInForce:
		content, err := remote.Get(q.daemon, remote.InForce{})
		if err != nil {
			return show.Report{}, err
		}
		return local.DiffInForce(content, q.folder)
	case RequestTimeline:
		return local.RequestTimeline(q.request, q.files)
	case KeyTimeline:
		return local.KeyTimeline(q.key, q.files)
	case DaemonQuery:
		return remote.GetReport(q.daemon, q.request)
	}
	return show.Report{}, nil
}
