package roster

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

func roster() *Roster {
	service := layout.NewService("catalogue", 2, true, server.New())
	r := New(layout.New([]string{"east", "west"}, []layout.Service{service}, nil, ""), true)
	r.Act(r.Names("catalogue-1"), plan.Start{}, 1)
	r.Act(r.Names("zone/west"), plan.Start{}, 1)
	return r
}

func TestNames(t *testing.T) {
	is := is.New(t)
	r := roster()
	is.Equal(r.Names("catalogue-1/target"), []string{"catalogue-1/target"})
	is.Equal(r.Names("zone/west"), []string{"catalogue-2/daemon", "catalogue-2/target"})
}

func TestExpectedEndsAreNoFailures(t *testing.T) {
	is := is.New(t)
	r := roster()
	names := []string{"catalogue-1/target"}
	is.Equal(r.Act(names, plan.Kill{}, 10), []Effect{Send{names[0], Kill}})
	is.Equal(len(r.Ended(names[0], errors.New("killed"), 11)), 0)
	is.Equal(r.Act(names, plan.Start{}, 20), []Effect{Launch{names[0]}})
	is.Equal(r.Act(names, plan.Restart{}, 30), []Effect{Send{names[0], Terminate}})
	is.Equal(r.Ended(names[0], nil, 31), []Effect{Launch{names[0]}})
	is.Equal(len(r.Failures()), 0)
	is.Equal(r.Outages(50), []layout.Outage{
		layout.NewOutage("catalogue-1", 10, 20), layout.NewOutage("catalogue-1", 30, 31)})
}

func TestFailures(t *testing.T) {
	is := is.New(t)
	r := roster()
	r.Ended("catalogue-1/target", nil, 10) // by itself
	r.Act([]string{"catalogue-1/daemon"}, plan.Leave{}, 10)
	r.Ended("catalogue-1/daemon", errors.New("exit status 1"), 11)
	r.Destroy([]string{"catalogue-2/target"}, 20)
	is.Equal(len(r.Failures()), 3)
}
