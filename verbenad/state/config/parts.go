package config

// Control holds the settings of a control replica.
type Control struct {
	dataFolder string
	form       bool
	least      int
}

// NewControl returns the settings of a replica that keeps its state in
// dataFolder. A replica with form may found the control group.
func NewControl(dataFolder string, form bool) Control {
	return Control{dataFolder: dataFolder, form: form}
}

// WithMinVoters returns the settings of a replica in an open group: replicas that nobody lists may
// join, and those that are silent for long are removed while the least count of voters is left.
func (c Control) WithMinVoters(voters int) Control {
	c.least = voters
	return c
}

// MinVoters returns the least count of voters of an open group, 0 if the group is not open.
func (c Control) MinVoters() int { return c.least }

// DataFolder returns the path of the folder for durable state.
func (c Control) DataFolder() string { return c.dataFolder }

// Bootstrap reports whether the replica may found the control group.
func (c Control) Bootstrap() bool { return c.form }

// TLS names the PEM files for mutual TLS.
type TLS struct {
	certificate string
	key         string
	authority   string
}

// NewTLS returns the paths of the certificate, its key and the authority that
// signs the certificates of all processes.
func NewTLS(certificate, key, authority string) TLS {
	return TLS{certificate: certificate, key: key, authority: authority}
}

// Certificate returns the path of the certificate.
func (t TLS) Certificate() string { return t.certificate }

// Key returns the path of the private key.
func (t TLS) Key() string { return t.key }

// Authority returns the path of the authority's certificate.
func (t TLS) Authority() string { return t.authority }

// Level is the severity of a log line.
type Level uint8

// Levels from the most to the least severe.
const (
	LevelError Level = iota
	LevelWarning
	LevelInfo
	LevelDebug
)

// ParseLevel returns the level called text.
func ParseLevel(text string) (Level, bool) {
	for _, l := range []Level{LevelError, LevelWarning, LevelInfo, LevelDebug} {
		if l.String() == text {
			return l, true
		}
	}
	return LevelInfo, false
}

// String returns the name of the level: error, warning, info or debug.
func (l Level) String() string {
	switch l {
	case LevelError:
		return "error"
	case LevelWarning:
		return "warning"
	case LevelInfo:
		return "info"
	case LevelDebug:
		return "debug"
	}
	return ""
}

// Format is the format of log lines: Plain or Structured.
type Format interface{ format() }

// Plain logs are lines of text.
type Plain struct{}

// Structured logs are one JSON object a line.
type Structured struct{}

func (Plain) format()      {}
func (Structured) format() {}
