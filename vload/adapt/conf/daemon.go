package conf

import "verbenabank/vload/state/layout"

// Names of files and folders. SecretFile and ConfigurationFolder are in the folder of
// the fleet, which all instances share; the others in the folder of an instance.
const (
	DaemonFile          = "daemon.jsonc"
	TargetFile          = "target.jsonc"
	LedgerFile          = "ledger.jsonl"
	SecretFile          = "secret"
	DataFolder          = "data"
	ConfigurationFolder = "conf.d"
)

// WriteDaemon writes the settings of the daemon of an instance to the file at path.
// replicas holds the addresses of the control replicas; isReplica tells whether this
// daemon is one of them.
func WriteDaemon(path string, i layout.Instance, replicas []string, isReplica bool) error {
	type listen struct {
		Callers string `json:"callers"`
		Peers   string `json:"peers"`
		Admin   string `json:"admin"`
	}
	type control struct {
		DataFolder string `json:"data_folder"`
		Form       bool   `json:"form"`
	}
	type logs struct {
		Level  string `json:"level"`
		Format string `json:"format"`
	}
	settings := struct {
		Instance            string   `json:"instance"`
		Zone                string   `json:"zone"`
		Listen              listen   `json:"listen"`
		Replicas            []string `json:"replicas"`
		SecretFile          string   `json:"secret_file"`
		Control             *control `json:"control,omitempty"`
		ConfigurationFolder string   `json:"configuration_folder,omitempty"`
		Log                 logs     `json:"log"`
	}{
		Instance: i.Name(), Zone: i.Zone(),
		Listen:     listen{Callers: i.CallersAddress(), Peers: i.PeersAddress(), Admin: i.AdminAddress()},
		Replicas:   replicas,
		SecretFile: "../" + SecretFile,
		Log:        logs{Level: "info", Format: "text"},
	}
	if isReplica {
		settings.Control = &control{DataFolder: DataFolder, Form: true}
		settings.ConfigurationFolder = "../" + ConfigurationFolder
	}
	return saveFile(path, settings)
}
