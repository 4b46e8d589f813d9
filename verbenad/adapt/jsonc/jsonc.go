// Package jsonc loads and validates the settings file of the daemon, which is JSON
// with comments.
package jsonc

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"

	"github.com/ansel1/merry/v2"

	"verbenabank/core/clock"
	"verbenabank/core/query/picker"
	"verbenabank/core/wire/jtree"
	"verbenabank/verbenad/state/config"
)

// namePattern matches valid names of instances and availability zones.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Load reads and validates the settings file at path. Relative paths in the file are
// relative to the folder of the file. The error is an *Error with all faults found.
func Load(path string) (config.Settings, error) {
	content, err := Read(path)
	if err != nil {
		return config.Settings{}, err
	}
	return Parse(path, content)
}

// Read returns the content of the file at path. The error is an *Error.
func Read(path string) ([]byte, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{op: OpLoad, kind: KindUnreadable, cause: merry.Wrap(err)}
	}
	return content, nil
}

// Parse validates the content of a settings file. Path appears in faults, and its folder
// is the base of relative paths. It reads and checks the files that the settings name, such
// as the secret. The error is an *Error with all faults found.
func Parse(path string, content []byte) (config.Settings, error) {
	object, faults := jtree.Parse(path, content)
	if len(faults) > 0 {
		return config.Settings{}, &Error{op: OpLoad, kind: KindInvalid, faults: faults}
	}
	l := loader{Reader: jtree.NewReader(object, &faults), folder: filepath.Dir(path)}
	settings := config.New(l.options()...)
	if len(faults) > 0 {
		return config.Settings{}, &Error{op: OpLoad, kind: KindInvalid, faults: faults}
	}
	return settings, nil
}

// loader reads the root object of a settings file. Its methods record faults in the
// embedded reader and go on, so that one run finds all faults.
type loader struct {
	jtree.Reader
	folder string // base of relative paths
}

func (l loader) options() []config.Option {
	l.RejectUnknown(withDurations([]string{"instance", "zone", "listen", "replicas", "seeds", "secret_file", "open_network", "control", "tls",
		"configuration_folder", "log", "target", "lease", "retries", "lasting_rules", "link_mbps", "memory_mb", "cold_start", "terms", "balancing"},
		"hold", "drain", "grace", "zone_drain")...)
	opts := []config.Option{config.WithName(l.name("instance"), l.name("zone")), l.authentication(), l.timing(), l.retries(), l.target()}
	opts = append(opts, config.WithLastingRules(l.Bool("lasting_rules", false)), config.WithLinkMbps(l.Float("link_mbps", 0, maxLinkMbps, 0)))
	opts = append(opts, l.coldStart(), l.memory(), config.WithTerms(l.Strings("terms", nil)))
	opts = append(opts, l.addresses()...)
	if l.Has("control") {
		opts = append(opts, config.WithControl(l.control()))
	}
	if l.Has("tls") {
		opts = append(opts, config.WithTLS(l.tls()))
	}
	if l.Has("configuration_folder") {
		opts = append(opts, config.WithConfigFolder(l.path(l.Reader, "configuration_folder")))
	}
	if l.Has("balancing") {
		opts = append(opts, l.balancing())
	}
	return append(opts, l.log())
}

// maxZoneCost is the highest cost of the way to another zone, in milliseconds.
const maxZoneCost = 10_000

func (l loader) balancing() config.Option {
	r, _ := l.Object("balancing")
	r.RejectUnknown("zone_cost_ms")
	return config.WithZoneCost(clock.Millis(r.Int("zone_cost_ms", 0, maxZoneCost, int64(picker.DefaultZoneCost))))
}

func (l loader) name(field string) string {
	name := l.String(field, "")
	if !namePattern.MatchString(name) {
		l.AddFault(field, "must be a name of at most 63 lower-case letters, digits and hyphens that begins with a letter")
	}
	return name
}

// maxLinkMbps is the highest link rate accepted, in Mbit/s.
const maxLinkMbps = 1e6

// Bounds of the memory of a process in MB.
const (
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
)

// memory reads the memory that the process may use. It may have a fraction; 0 is the same as leaving it out.
func (l loader) memory() config.Option {
	mb := int64(l.Float("memory_mb", 0, maxMemoryMB, 0))
	if mb != 0 && mb < minMemoryMB {
		l.AddFault("memory_mb", fmt.Sprintf("must be 0 or at least %d", minMemoryMB))
	}
	return config.WithMemoryMB(mb)
}

// maxToleratedLosses is the highest number of replica failures that a group may be
// configured to tolerate.
const maxToleratedLosses = 10

func (l loader) control() config.Control {
	r, ok := l.Object("control")
	if !ok {
		return config.Control{}
	}
	r.RejectUnknown("data_folder", "form", "bear_losses")
	c := config.NewControl(l.path(r, "data_folder"), r.Bool("form", false))
	if r.Has("bear_losses") {
		c = c.WithMinVoters(2*int(r.Int("bear_losses", 0, maxToleratedLosses, 1)) + 1)
	}
	return c
}

func (l loader) tls() config.TLS {
	r, ok := l.Object("tls")
	if !ok {
		return config.TLS{}
	}
	r.RejectUnknown("certificate", "key", "authority")
	certificate, _ := l.regularFile(r, "certificate")
	key, _ := l.privateFile(r, "key", 1)
	authority, _ := l.regularFile(r, "authority")
	return config.NewTLS(certificate, key, authority)
}

func (l loader) log() config.Option {
	r, _ := l.Object("log")
	r.RejectUnknown("level", "format")
	level, ok := config.ParseLevel(r.String("level", config.LevelInfo.String()))
	if !ok {
		r.AddFault("level", "must be error, warning, info or debug")
	}
	const plain, structured = "text", "json"
	format := r.String("format", plain)
	if !slices.Contains([]string{plain, structured}, format) {
		r.AddFault("format", fmt.Sprintf("must be %s or %s", plain, structured))
	}
	if format == structured {
		return config.WithLog(level, config.Structured{})
	}
	return config.WithLog(level, config.Plain{})
}
