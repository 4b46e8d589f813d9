// Package head holds the rules for HTTP header fields that all front ends share: which fields a proxy
// forwards, and which heads are unambiguous.
package head

import "strings"

// hopByHop are the fields that a proxy does not forward. Content-Length and Expect are among them, since
// the server and the client write the framing themselves.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// IsForwarded reports whether a proxy forwards the field, which must have its canonical name
// ("Keep-Alive"). options are the names listed in the Connection field, as ConnectionOptions returns
// them.
func IsForwarded(name string, options map[string]bool) bool {
	return !hopByHop[name] && !options[strings.ToLower(name)]
}

// ConnectionOptions returns the names listed in the value of a Connection field, in lower case, or nil for an
// empty value.
func ConnectionOptions(value string) map[string]bool {
	if value == "" {
		return nil
	}
	set := map[string]bool{}
	for t := range strings.SplitSeq(value, ",") {
		set[strings.ToLower(strings.TrimSpace(t))] = true
	}
	return set
}
