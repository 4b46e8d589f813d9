package codec

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"verbenabank/core/command/leader"
	"verbenabank/core/state/table"
	"verbenabank/core/wire/wirepb"
)

// manyRoutes returns a configuration of 2,000 routes.
func manyRoutes() []byte {
	var b bytes.Buffer
	for n := range 2000 {
		fmt.Fprintf(&b, `"r-%x": {"host": "h%x.example", "path": "/p%x/", "repeatable": true, `+
			`"timeout_ms": %d, "latency_goal_ms": %d, "priority": 2, "service": "s%d", "attempts": 2},`, n*7919, n%97, n*104729, 800+n%5*100, 400, n%3)
	}
	return b.Bytes()
}

// TestLargeConfigurationFitsSlowLinks guards against daemons that lag behind for seconds, because each change of a
// configuration of thousands of routes fills their link.
func TestLargeConfigurationFitsSlowLinks(t *testing.T) {
	is := is.New(t)
	content := manyRoutes()
	update := leader.NewUpdate(false, 4, 5, []table.Change{table.NewRulesSet(rulesOf(content))})
	size := proto.Size(EncodePackedUpdate(update))
	is.True(size < 50_000) // 0.1 s on a link of 4 Mbit/s
	is.True(proto.Size(EncodeUpdate(update)) > len(content))
	changes, err := newCodec().DecodeChanges(EncodePackedUpdate(update).GetUpdate().GetChanges())
	is.NoErr(err)
	is.True(bytes.Equal(changes[0].(table.RulesSet).Rules().Content(), content))
}

func TestDamagedPackedConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	m := &wirepb.Configuration{Version: 1, Packed: []byte("no deflate")}
	_, err := newCodec().DecodeRules(m)
	is.True(err != nil)
}

func TestSmallConfigurationsStayPlain(t *testing.T) {
	is := is.New(t)
	update := leader.NewUpdate(false, 4, 5, []table.Change{table.NewRulesSet(rulesOf([]byte("content")))})
	is.Equal(string(EncodePackedUpdate(update).GetUpdate().GetChanges()[0].GetRules().GetContent()), "content")
}
