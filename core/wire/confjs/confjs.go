// Package confjs maps the merged JSON of the operators' files to rules and back.
package confjs

import (
	"fmt"
	"math"
	"regexp"

	"verbenabank/core/state/rules"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/jtree"
)

// MaxServices is the largest count of services in one configuration.
const MaxServices = 1000

// serviceNames is the pattern of service names.
var serviceNames = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Decode returns the rules in content, whose places name file. The digest is
// that of the canonical content. An *Error has every fault.
func Decode(file string, content []byte) (rules.Rules, error) {
	document, faults := jtree.Parse(file, content)
	if len(faults) > 0 {
		return rules.Rules{}, &Error{op: OpParse, kind: KindSyntax, faults: faults}
	}
	return Check(document)
}

// Check returns the rules in a merged document. An *Error has every fault.
func Check(document tree.Object) (rules.Rules, error) {
	var faults []tree.Fault
	r := jtree.NewReader(document, &faults)
	r.RejectUnknown("version", "services")
	version := uint64(0)
	if r.Has("version") {
		version = uint64(r.Int("version", 1, math.MaxInt64, 0))
	} else {
		r.AddFault("version", "is missing; one file must set it, and each change must raise it")
	}
	services := readServices(r)
	content := jtree.Canonical(document)
	if len(content) > jtree.MaxBytes {
		r.AddObjectFault(fmt.Sprintf("must be at most %d bytes when merged, is %d", jtree.MaxBytes, len(content)))
	}
	if len(faults) > 0 {
		return rules.Rules{}, &Error{op: OpCheck, kind: KindInvalid, faults: faults}
	}
	return rules.New(version, jtree.Digest(content), services...), nil
}

// reserved is the first path segment of requests between daemon and target.
const reserved = "verbena"

func readServices(r jtree.Reader) []rules.Service {
	all, ok := r.Object("services")
	names := all.Names()
	switch {
	case !ok && !r.Has("services"):
		r.AddFault("services", "is missing; at least one service must be set")
	case ok && len(names) == 0:
		r.AddFault("services", "must have at least one service")
	case len(names) > MaxServices:
		r.AddFault("services", fmt.Sprintf("must have at most %d services, has %d", MaxServices, len(names)))
		return nil
	}
	services := make([]rules.Service, 0, len(names))
	for _, name := range names {
		if !serviceNames.MatchString(name) {
			all.AddFault(name, "is no service name: at most 63 lower-case letters, digits and hyphens, first a letter")
			continue
		}
		if name == reserved {
			all.AddFault(name, "is reserved: targets take the system's own requests below this path")
			continue
		}
		if s, ok := all.Object(name); ok {
			services = append(services, readService(s, name))
		}
	}
	return services
}
