package caller

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shedhoist/shedhoist/internal/target"
)

// FuzzParseModel checks that any body is either refused or yields an engine
// request that is valid JSON and carries this process's own "shedhoist" member.
func FuzzParseModel(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"x","stream":true}`), false)
	f.Add([]byte(`{"model":"m:a","messages":[{"role":"user","content":"x"}],"temperature":0.5}`), true)
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"x","prompt":"y","shedhoist":{"cache_salt":"z"}}`), false)
	f.Add([]byte(`{"model":"m","prompt":"x","SHEDHOIST":{},"\u0000":1}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		req, err := parseModel(data, chat)
		if err != nil {
			return
		}
		var doc map[string]json.RawMessage
		if err := json.Unmarshal([]byte(strings.Join(req.engineBody(target.Extension{Version: "v", Salt: "s"}), "")), &doc); err != nil {
			t.Fatalf("engine body: %v", err)
		}
		var ext target.Extension
		if err := json.Unmarshal(doc["shedhoist"], &ext); err != nil || ext.Salt != "s" {
			t.Fatalf("extension %s: %v", doc["shedhoist"], err)
		}
	})
}
