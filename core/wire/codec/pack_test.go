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
		fmt.Fprintf(&b, `{"type":"routes","metadata":{"name":"r-%x"},"spec":{"hostname":"h%x.example","pathPrefix":"/p%x/","routeKind":"safe",`+
			`"timeoutMs":%d,"targetLatencyMs":%d,"priority":2,"service":"s%d","attempts":2}},`, n*7919, n%97, n*104729, 800+n%5*100, 400, n%3)
	}
	return b.Bytes()
}

// TestLargeConfigurationFitsSlowLinks guards against daemons that lag behind for seconds, because each change of a
// configuration of thousands of routes fills their link. Seen as CONFIG on trouble-1 of caroni-warp-grown, with
// links of 3.8 Mbit/s.
func TestLargeConfigurationFitsSlowLinks(t *testing.T) {
	is := is.New(t)
	content := manyRoutes()
	update := leader.NewUpdate(false, 4, 5, []table.Change{table.NewRulesSet(rulesOf(content))})
	size := proto.Size(EncodePackedUpdate(update))
	is.True(size < 50_000) // 0.1 s at 3.8 Mbit/s
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
