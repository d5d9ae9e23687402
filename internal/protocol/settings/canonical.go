package settings

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"reflect"

	"oleanderfall.example/oleanderfall/internal/state/model"
)

// MaxConfigBytes bounds the canonical form of a configuration.
const MaxConfigBytes = 3 << 20

// EncodeConfig returns the canonical form of a configuration: equal configurations
// have equal bytes.
func EncodeConfig(c *model.Config) ([]byte, error) {
	b, err := json.Marshal(c)
	return b, Error.Wrap(err)
}

// DecodeConfig reads the canonical form. It passes over unknown fields, so that a
// host follows a generation that a newer program made.
func DecodeConfig(b []byte) (*model.Config, error) {
	c := &model.Config{}
	return c, Error.Wrap(json.Unmarshal(b, c))
}

// DecodeNewConfig reads the canonical form of a change and checks it as a whole.
func DecodeNewConfig(b []byte) (*model.Config, error) {
	if len(b) > MaxConfigBytes {
		return nil, Problems{{File: "configuration", Reason: tooLarge(len(b))}}
	}
	c := &model.Config{}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(c); err != nil {
		return nil, Error.Wrap(err)
	}
	if problems := CheckConfig(c); len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}

// Digest returns the digest of a canonical form, in hexadecimal.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Pack compresses a canonical form.
func Pack(canonical []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if _, err := w.Write(canonical); err != nil {
		return nil, Error.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return nil, Error.Wrap(err)
	}
	return out.Bytes(), nil
}

// Unpack returns the canonical form that Pack compressed, if its digest is the one
// given.
func Unpack(packed []byte, digest string) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	canonical, err := io.ReadAll(io.LimitReader(r, MaxConfigBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(canonical) > MaxConfigBytes {
		return nil, Error.New("%s", tooLarge(len(canonical)))
	}
	if got := Digest(canonical); got != digest {
		return nil, Error.New("the content's digest is %s, not %s", got, digest)
	}
	return canonical, nil
}

// CheckConfig checks a configuration that did not come from a folder by the same
// rules as one that did.
func CheckConfig(c *model.Config) Problems {
	var out Problems
	report := func(section, key, reason string) {
		out = append(out, Problem{File: "configuration", Section: section, Key: key, Reason: reason})
	}
	checkValues(reflect.ValueOf(c).Elem(), report)
	crossCheck(c, report)
	return out.sorted()
}
