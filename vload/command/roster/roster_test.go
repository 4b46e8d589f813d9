package roster

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

func newTable() *ProcessTable {
	service := layout.NewService("catalogue", 2, true, server.New())
	table := New(layout.New([]string{"east", "west"}, []layout.Service{service}, nil, ""), true)
	table.Apply(table.Resolve("catalogue-1"), plan.Start{}, 1)
	table.Apply(table.Resolve("zone/west"), plan.Start{}, 1)
	return table
}

func TestResolve(t *testing.T) {
	is := is.New(t)
	table := newTable()
	is.Equal(table.Resolve("catalogue-1/target"), []string{"catalogue-1/target"})
	is.Equal(table.Resolve("zone/west"), []string{"catalogue-2/daemon", "catalogue-2/target"})
}

func TestExpectedExitsAreNotFailures(t *testing.T) {
	is := is.New(t)
	table := newTable()
	names := []string{"catalogue-1/target"}
	is.Equal(table.Apply(names, plan.Kill{}, 10), []Effect{SendSignal{names[0], Kill}})
	is.Equal(len(table.HandleExit(names[0], errors.New("killed"), 11)), 0)
	is.Equal(table.Apply(names, plan.Start{}, 20), []Effect{Launch{names[0]}})
	is.Equal(table.Apply(names, plan.Restart{}, 30), []Effect{SendSignal{names[0], Terminate}})
	is.Equal(table.HandleExit(names[0], nil, 31), []Effect{Launch{names[0]}})
	is.Equal(len(table.Failures()), 0)
	is.Equal(table.Outages(50), []layout.Outage{
		layout.NewOutage("catalogue-1", 10, 20), layout.NewOutage("catalogue-1", 30, 31)})
}

func TestFailures(t *testing.T) {
	is := is.New(t)
	table := newTable()
	table.HandleExit("catalogue-1/target", nil, 10) // crash
	table.Apply([]string{"catalogue-1/daemon"}, plan.Leave{}, 10)
	table.HandleExit("catalogue-1/daemon", errors.New("exit status 1"), 11)
	table.KillOverdue([]string{"catalogue-2/target"}, 20)
	is.Equal(len(table.Failures()), 3)
}
