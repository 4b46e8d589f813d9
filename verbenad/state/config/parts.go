package config

// Control holds the settings of a control replica.
type Control struct {
	dataFolder string
	bootstrap  bool
	minVoters  int
}

// NewControl returns the settings of a replica that stores its state in dataFolder. bootstrap allows it to
// bootstrap the control group.
func NewControl(dataFolder string, bootstrap bool) Control {
	return Control{dataFolder: dataFolder, bootstrap: bootstrap}
}

// WithMinVoters makes the control group's membership open: replicas that are not configured may join, and
// members that are unresponsive for long are removed, as long as the minimum number of voters is left.
func (c Control) WithMinVoters(minVoters int) Control {
	c.minVoters = minVoters
	return c
}

// MinVoters returns the minimum number of voters of a group with open membership, 0 if membership is not
// open.
func (c Control) MinVoters() int { return c.minVoters }

// DataFolder returns the path of the folder for the replicated log and its snapshots.
func (c Control) DataFolder() string { return c.dataFolder }

// Bootstrap reports whether the replica may bootstrap the control group.
func (c Control) Bootstrap() bool { return c.bootstrap }

// TLS holds the paths of the PEM files for mutual TLS.
type TLS struct {
	certificate string
	key         string
	authority   string
}

// NewTLS returns the paths of a certificate, of its private key, and of the certificate of the authority
// that signs the certificates of all processes.
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

// ParseLevel returns the level with the given name, and false if there is none.
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

// Structured logs have one JSON object per line.
type Structured struct{}

func (Plain) format()      {}
func (Structured) format() {}
