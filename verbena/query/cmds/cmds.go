// Package cmds reads the command line of the operators and answers it.
package cmds

import (
	"fmt"
	"io"
	"net/netip"

	"verbenabank/verbena/query/local"
	"verbenabank/verbena/query/remote"
	"verbenabank/verbena/query/show"
)

// Query is what the operator asks: Check, Explain, Diff, DiffInForce, Ask, Story or StoryOfKey.
type Query interface{ query() }

// Check asks whether a folder is valid.
type Check struct{ folder string }

// Explain asks who set a path in a folder.
type Explain struct{ folder, path string }

// Diff asks how two folders differ.
type Diff struct{ from, to string }

// DiffInForce asks how a folder differs from what a daemon has in force.
type DiffInForce struct {
	daemon netip.AddrPort
	folder string
}

// Ask asks a daemon.
type Ask struct {
	daemon   netip.AddrPort
	question remote.Question
}

// Story asks what logs say of a request.
type Story struct {
	request string
	files   []string
}

// StoryOfKey asks what logs say of a key that is a number.
type StoryOfKey struct {
	key   uint32
	files []string
}

func (Story) query()       {}
func (StoryOfKey) query()  {}
func (Check) query()       {}
func (Explain) query()     {}
func (Diff) query()        {}
func (DiffInForce) query() {}
func (Ask) query()         {}

// Run answers the command line args and returns the exit status. Answers go to
// out, errors to errs.
func Run(args []string, out, errs io.Writer) show.Status {
	query, form, err := parse(args)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "verbena:", err)
		return show.Usage
	}
	report, err := answer(query)
	if err != nil {
		_, _ = fmt.Fprintln(errs, "verbena:", err)
		return show.Problem
	}
	if err := show.Write(out, form, report); err != nil {
		_, _ = fmt.Fprintln(errs, "verbena: write the answer:", err)
		return show.Problem
	}
	return report.Status()
}

func answer(q Query) (show.Report, error) {
	switch q := q.(type) {
	case Check:
		return local.Check(q.folder)
	case Explain:
		return local.Explain(q.folder, q.path)
	case Diff:
		return local.Diff(q.from, q.to)
	case DiffInForce:
		content, err := remote.Ask(q.daemon, remote.InForce{})
		if err != nil {
			return show.Report{}, err
		}
		return local.DiffInForce(content, q.folder)
	case Story:
		return local.StoryOf(q.request, q.files)
	case StoryOfKey:
		return local.StoryOfKey(q.key, q.files)
	case Ask:
		return remote.Report(q.daemon, q.question)
	}
	return show.Report{}, nil
}
