package confjs

import (
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"verbenabank/core/state/rules"
	"verbenabank/core/wire/jtree"
)

// ownHeaders is the prefix of the headers that the system sets itself.
const ownHeaders = "Verbena-"

// hopHeaders say how a request is carried and never have a key.
var hopHeaders = []string{
	"Connection", "Content-Length", "Host", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

func readKind(r jtree.Reader) rules.Kind {
	if r.Has("keyed") && r.Has("pooled") {
		r.AddFault("pooled", "stands beside keyed; set one to null")
	}
	if p, ok := r.Object("pooled"); ok {
		p.RejectUnknown()
	}
	k, ok := r.Object("keyed")
	if !ok {
		if !r.Has("keyed") && !r.Has("pooled") {
			r.AddObjectFault("must have keyed or pooled")
		}
		return rules.Pooled{}
	}
	k.RejectUnknown("key", "shards")
	shards := k.Int("shards", 1, MaxShards, rules.DefaultShards)
	return rules.NewKeyed(readSource(k), int(shards))
}

func readSource(k jtree.Reader) rules.KeySource {
	source, ok := k.Object("key")
	if !ok {
		if !k.Has("key") {
			k.AddFault("key", `is missing; set it to {"path_segment": 2} or {"header": "X-Key"}`)
		}
		return rules.NewPathSegment(MinSegment)
	}
	source.RejectUnknown("path_segment", "header")
	if source.Has("path_segment") == source.Has("header") {
		k.AddFault("key", "must have either path_segment or header")
	}
	if source.Has("header") {
		return rules.NewHeader(readHeader(source))
	}
	return rules.NewPathSegment(int(source.Int("path_segment", MinSegment, MaxSegment, MinSegment)))
}

func readHeader(source jtree.Reader) string {
	text := source.String("header", "X-Key")
	name := textproto.CanonicalMIMEHeaderKey(text)
	switch {
	case !httpguts.ValidHeaderFieldName(text):
		source.AddFault("header", fmt.Sprintf("%q is no header name", text))
	case slices.Contains(hopHeaders, name) || strings.HasPrefix(name, ownHeaders):
		source.AddFault("header", name+" cannot have the key; use a header of the callers' own")
	}
	return name
}
