// Package settings defines the settings file of one instance: its listeners and
// zone, the addresses of the platform and of the seed peers, TLS files, logging
// and limits. The file is read once, at start.
package settings

import (
	"os"
	"time"

	"github.com/shedhoist/shedhoist/internal/tomlfile"
)

// Settings is the content of the daemon's settings file.
type Settings struct {
	Name      string    `toml:"name" validate:"name"`
	Zone      string    `toml:"zone" validate:"name"`
	Listen    Listen    `toml:"listen"`
	Platform  Platform  `toml:"platform"`
	Peers     Peers     `toml:"peers"`
	Operators Operators `toml:"operators"`
	TLS       TLS       `toml:"tls"`
	Log       Log       `toml:"log"`
	Limits    Limits    `toml:"limits"`
	Timing    Timing    `toml:"timing"`
}

// Listen holds the listeners' addresses as host:port. Port 0 picks a free port.
type Listen struct {
	Callers   string `toml:"callers" validate:"listen"`
	Operators string `toml:"operators" validate:"listen"`
	Peers     string `toml:"peers" validate:"listen"`
}

// Platform holds the URL and the bearer token of the platform's object API.
type Platform struct {
	URL       string `toml:"url" validate:"url"`
	TokenFile string `toml:"token_file"`
	Token     string `toml:"token"`
}

// Peers configures how instances discover and authenticate one another.
type Peers struct {
	Seeds []string `toml:"seeds" validate:"dive,address"`
	// Secret is shared by all instances. It is required if peers do not use TLS.
	Secret     string `toml:"secret"`
	SecretFile string `toml:"secret_file"`
	// Advertise is the address announced to peers. If it is empty, the
	// listener's address is announced.
	Advertise string `toml:"advertise" validate:"omitempty,address"`
}

// Operators lists operator keys that this instance accepts in addition to those
// of the configuration, so that operators can query its state before it has
// received a configuration.
type Operators struct {
	KeyHashes []string `toml:"key_sha256" validate:"dive,len=64,hexadecimal"`
}

// TLS holds the paths of certificate and key files. A listener without them
// serves plain TCP.
type TLS struct {
	CallerCert   string `toml:"caller_cert"`
	CallerKey    string `toml:"caller_key"`
	OperatorCert string `toml:"operator_cert"`
	OperatorKey  string `toml:"operator_key"`
	PeerCert     string `toml:"peer_cert"`
	PeerKey      string `toml:"peer_key"`
	PeerCA       string `toml:"peer_ca"`
}

// Log holds the log level and output format.
type Log struct {
	Level  string `toml:"level" validate:"oneof=debug info warn error"`
	Format string `toml:"format" validate:"oneof=json text"`
}

// Limits holds the limits on one request, response or connection of a caller, and
// the number of explain records kept (WhyRecords). HeaderSeconds and BodySeconds
// limit how long reading the header and the body may take, IdleSeconds how long an
// idle connection stays open; the limits on headers and idle connections also apply to
// operators. AnswerBytes limits a plain service's response. MemoryMB is the memory that the
// process may use, of which callers get a share; 0: no limit.
type Limits struct {
	HeaderBytes   int `toml:"header_bytes" validate:"min=1024,max=1048576"`
	BodyBytes     int `toml:"body_bytes" validate:"min=1024,max=67108864"`
	AnswerBytes   int `toml:"answer_bytes" validate:"min=1024,max=67108864"`
	HeaderSeconds int `toml:"header_seconds" validate:"min=1,max=600"`
	BodySeconds   int `toml:"body_seconds" validate:"min=1,max=600"`
	IdleSeconds   int `toml:"idle_seconds" validate:"min=1,max=3600"`
	MemoryMB      int `toml:"memory_mb" validate:"min=0,max=1048576"`
	WhyRecords    int `toml:"why_records" validate:"min=1,max=1000000"`
}

// MemoryBytes returns the memory that the process may use, in bytes; 0: no limit.
func (l Limits) MemoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// Timing holds periods and timeouts in milliseconds. On shutdown the daemon reports
// not ready and accepts requests for DrainNoticeMS, and then finishes the requests in
// flight within DrainMS.
type Timing struct {
	DrainNoticeMS int `toml:"drain_notice_ms" validate:"min=0,max=600000"`
	DrainMS       int `toml:"drain_ms" validate:"min=0,max=3600000"`
	ProbeMS       int `toml:"probe_ms" validate:"min=10,max=60000"`
	HeartbeatMS   int `toml:"heartbeat_ms" validate:"min=10,max=60000"`
	ConfigPollMS  int `toml:"config_poll_ms" validate:"min=10,max=600000"`
	ConnectMS     int `toml:"connect_ms" validate:"min=1,max=60000"`
}

// Duration converts milliseconds to a time.Duration.
func Duration(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Default returns the values of settings that a file does not set.
func Default() Settings {
	return Settings{
		Listen: Listen{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"},
		Log:    Log{Level: "info", Format: "json"},
		Limits: Limits{HeaderBytes: 64 << 10, BodyBytes: 8 << 20, AnswerBytes: 16 << 20, HeaderSeconds: 5,
			BodySeconds: 30, IdleSeconds: 120, MemoryMB: 1024, WhyRecords: 4096},
		Timing: Timing{DrainNoticeMS: 5000, DrainMS: 120_000, ProbeMS: 250, HeartbeatMS: 500,
			ConfigPollMS: 5000, ConnectMS: 1000},
	}
}

// Load reads and validates a settings file. Errors are of type tomlfile.Errors.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, tomlfile.Errors{{File: file, Reason: fileReason(err)}}
	}
	return Parse(file, data)
}

// Parse decodes and validates the content of a settings file. It reads the
// secret files that the settings refer to and checks that the TLS files are
// readable. The name file is used in errors only.
func Parse(file string, data []byte) (*Settings, error) {
	s := Default()
	ix, err := tomlfile.Decode(file, data, &s)
	if err != nil {
		return nil, err
	}
	var errs tomlfile.Errors
	errs = append(errs, readSecret(ix, "platform.token_file", s.Platform.TokenFile, &s.Platform.Token)...)
	errs = append(errs, readSecret(ix, "peers.secret_file", s.Peers.SecretFile, &s.Peers.Secret)...)
	errs = append(errs, s.TLS.validate(ix)...)
	if s.Peers.Secret == "" && s.TLS.PeerCert == "" {
		errs = append(errs, ix.ErrorAt("peers", "needs secret, secret_file or the tls.peer_* files to authenticate peers"))
	}
	if err := errs.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// readSecret stores the content of file, without trailing newlines, in dst. Without
// a file, dst keeps the value given in the settings.
func readSecret(ix *tomlfile.Index, key, file string, dst *string) tomlfile.Errors {
	if file == "" {
		return nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return tomlfile.Errors{ix.ErrorAt(key, fileReason(err))}
	}
	*dst = trimNewlines(string(data))
	if *dst == "" {
		return tomlfile.Errors{ix.ErrorAt(key, file+" is empty")}
	}
	return nil
}

func trimNewlines(s string) string {
	for len(s) > 0 && (s[len(s)-1] == '\n' || s[len(s)-1] == '\r') {
		s = s[:len(s)-1]
	}
	return s
}

// validate checks that certificates and keys are set in pairs, that peer_cert and
// peer_ca are set together, and that all files are readable.
func (t *TLS) validate(ix *tomlfile.Index) tomlfile.Errors {
	var errs tomlfile.Errors
	pair := func(certSetting, cert, keySetting, key string) {
		if (cert == "") != (key == "") {
			errs = append(errs, ix.ErrorAt("tls", certSetting+" and "+keySetting+" go together"))
		}
	}
	pair("caller_cert", t.CallerCert, "caller_key", t.CallerKey)
	pair("operator_cert", t.OperatorCert, "operator_key", t.OperatorKey)
	pair("peer_cert", t.PeerCert, "peer_key", t.PeerKey)
	if (t.PeerCert == "") != (t.PeerCA == "") {
		errs = append(errs, ix.ErrorAt("tls", "peer_cert and peer_ca go together"))
	}
	files := [...]struct{ key, file string }{
		{"caller_cert", t.CallerCert}, {"caller_key", t.CallerKey}, {"operator_cert", t.OperatorCert},
		{"operator_key", t.OperatorKey}, {"peer_cert", t.PeerCert}, {"peer_key", t.PeerKey}, {"peer_ca", t.PeerCA},
	}
	for _, f := range files {
		if f.file == "" {
			continue
		}
		if _, err := os.ReadFile(f.file); err != nil {
			errs = append(errs, ix.ErrorAt("tls."+f.key, fileReason(err)))
		}
	}
	return errs
}

// fileReason returns the reason to report for a file that could not be read.
func fileReason(err error) string {
	switch {
	case os.IsNotExist(err):
		return "no such file: " + err.Error()
	case os.IsPermission(err):
		return "not readable: " + err.Error()
	}
	return err.Error()
}
