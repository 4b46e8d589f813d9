package heads_test

import (
	"bufio"
	"errors"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"verbenabank/core/wire/heads"
)

// kindOf returns the kind of an *heads.Error, "" for other errors.
func kindOf(err error) heads.Kind {
	var e *heads.Error
	if errors.As(err, &e) {
		return e.Kind()
	}
	return ""
}

// TestHeadsAreJudgedAsReceived covers the lines of a head, received at once and byte by byte: a check that starts over or
// sees only a part of a line must come to the same end.
func TestHeadsAreJudgedAsReceived(t *testing.T) {
	for head, want := range map[string]heads.Kind{
		"HTTP/1.1 200 OK\r\nA: b\r\nC:\r\nd: e f\r\n\r\n":    "",
		"\r\n\r\nHTTP/1.0 999\r\n\r\n":                       "",
		"HTTP/1.1 000 OK\r\n\r\n":                            heads.OddStatus,
		"HTTP/1.1\r\n\r\n":                                   heads.OddStatus,
		"HTTP/1.1 2000 OK\r\n\r\n":                           heads.OddStatus,
		"HTTP/1.1 200 OK\nA: b\r\n\r\n":                      heads.BareNewline,
		"HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n":              heads.BareNewline,
		"HTTP/1.1 200 OK\r\nA: b\r\n\nC: d\r\n\r\n":          heads.BareNewline,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                  heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA : c\r\n\r\n":                   heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d\r\n\r\n":           heads.OddFieldName,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                     heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nfestoon\r\n\r\n":                 heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\x00\r\n\r\n":          heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA\xc3\xa4: b\r\n\r\n":            heads.OddFieldName,
		"HTTP/1.1 200 OK\r\nA: b c\td\xff\r\nE!#$: \r\n\r\n": "",
	} {
		is := is.New(t)
		const body = "body\n"
		whole := bufio.NewReader(strings.NewReader(head + body))
		p, err := heads.Await(whole)
		is.Equal(kindOf(err), want)
		pieces := bufio.NewReader(iotest.OneByteReader(strings.NewReader(head + body)))
		q, err := heads.Await(pieces)
		is.Equal(kindOf(err), want)
		is.Equal(p, q)
		if want == "" {
			is.True(p.Complete())
			is.Equal(p.Length(), len(head))
		}
	}
}

// TestTokens compares each byte with the characters of a token in RFC 9110.
func TestTokens(t *testing.T) {
	is := is.New(t)
	const token = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for c := range 256 {
		name := []byte{'A', byte(c), 'b'}
		is.Equal(heads.IsToken(name), strings.IndexByte(token, byte(c)) >= 0)
	}
	is.True(!heads.IsToken(""))
}

// TestIncompleteHeadIsNone covers a connection that ends within a head.
func TestIncompleteHeadIsNone(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nA: b\r\n\r\n"
	for n := range head {
		is := is.New(t)
		p, err := heads.Await(bufio.NewReader(strings.NewReader(head[:n])))
		is.True(err != nil)
		is.True(!p.Complete())
	}
}
