package report

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenabank/core/state/result"
	"verbenabank/vload/state/call"
	"verbenabank/vload/state/layout"
	"verbenabank/vload/state/ledger"
	"verbenabank/vload/state/plan"
	"verbenabank/vload/state/server"
)

func run() Run {
	service := layout.NewService("catalogue", 1, true, server.New())
	l := layout.New([]string{"east"}, []layout.Service{service}, nil, "")
	request := func(id string) call.Request { return call.NewRequest(id, "catalogue", "tent", "POST", 0, 0, 0) }
	ran := ledger.NewExecution(ledger.NewRequest("2", "tent", "POST", 1, 1, 0), "catalogue", "catalogue-1", "", 10, ledger.InDoubt{})
	return NewRun(plan.New(), l, 0, 1000).WithCalls([]call.Call{
		call.New(request("1"), "", 0, 4*time.Millisecond, result.NewAnswered(200), call.Intact{}),
		call.New(request("2"), "", 10, time.Millisecond, result.NewUnknown(result.Interrupted), call.Unchecked{}),
		call.New(request("3"), "", 20, time.Millisecond, result.NewRefused(result.NoOwner, 0), call.Unchecked{}),
		call.New(request("4"), "", 30, time.Millisecond, result.NewAnswered(504), call.Unchecked{}),
	}, 0).WithLedger(ledger.New([]ledger.Execution{ran}, nil), nil)
}

func TestReport(t *testing.T) {
	is := is.New(t)
	p := New(run())
	is.Equal(p.AnsweredPercent(), 25.0)
	is.Equal(p.Promises().Lost(), 1) // request 1 is in no ledger
	var table, lines strings.Builder
	is.NoErr(p.Table(&table))
	is.True(strings.Contains(table.String(), "unknown, but ran"))
	is.NoErr(p.Calls(&lines))
	is.Equal(strings.Count(lines.String(), "\n"), 3)
	var text strings.Builder
	is.NoErr(p.JSON(&text))
	var read struct {
		Outcomes map[string]int `json:"outcomes"`
		Ran      int            `json:"unknown_but_ran"`
		Kinds    []struct {
			P50 float64 `json:"p50_ms"`
		} `json:"kinds"`
	}
	is.NoErr(json.Unmarshal([]byte(text.String()), &read))
	is.Equal(read.Outcomes, map[string]int{
		"answered": 1, "answered, not whole or an error": 1, "refused: no-owner": 1, "unknown: interrupted": 1})
	is.Equal(read.Ran, 1)
	is.True(read.Kinds[0].P50 > 3.9 && read.Kinds[0].P50 < 4.1)
}
