package hop_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"verbenabank/core/clock"
	"verbenabank/core/command/agent"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/snap"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/codec"
	"verbenabank/core/wire/wirepb"
	"verbenabank/verbenad/adapt/hop"
)

// TestRulesOfAnotherDaemon asks a real server: for newer rules, which come with their confirmation, and for rules that
// are not newer.
func TestRulesOfAnotherDaemon(t *testing.T) {
	is := is.New(t)
	now := clock.NewManual(5000)
	store := snap.NewStore()
	content := make([]byte, 5000) // large enough to be compressed
	r := rules.New(7, "d").WithContent(content)
	store.Publish(snap.New(table.Empty().With(1, table.NewRulesSet(r)), 1, 0, 0, snap.WithConfirmation(77, 4980)))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := grpc.NewServer()
	wirepb.RegisterHopServer(s, hop.NewServer(nil, hop.WithRules(clock.New(clock.WithSource(now.Now)), store)))
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	client, stop := hop.New()
	defer stop()
	d := codec.New(codec.WithRules(func(content []byte) (rules.Rules, error) { return rules.New(7, "d").WithContent(content), nil }))
	ask := func(version uint64) agent.RulesAnswered {
		answers := make(chan agent.RulesAnswered, 1)
		client.AskRules(l.Addr().String(), 100, version, d, func(e agent.RulesAnswered) { answers <- e })
		select {
		case e := <-answers:
			return e
		case <-time.After(5 * time.Second):
			t.Fatal("no answer")
			return agent.RulesAnswered{}
		}
	}
	known := agent.NewRulesAnswered(100, 77, 7).WithConfirmation(20)
	is.Equal(ask(6), known.WithNewer(r))
	is.Equal(ask(7), known)
}
