// Package head has what all readers and writers of HTTP heads share.
package head

import "strings"

// hopByHop fields concern one connection and are not passed on; nor are those that
// the codec writes by itself.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// IsForwarded reports whether a field is about the message and not about the connection. named
// are those that a Connection field names.
func IsForwarded(name string, named map[string]bool) bool {
	return !hopByHop[name] && !named[strings.ToLower(name)]
}

// ConnectionOptions returns the fields that a Connection field names, in lower case.
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
