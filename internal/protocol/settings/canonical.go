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

// MaxConfigBytes limits the size of a configuration's canonical form.
const MaxConfigBytes = 3 << 20

// EncodeConfig returns the canonical form of a configuration, its JSON encoding. Equal
// configurations have equal bytes.
func EncodeConfig(c *model.Config) ([]byte, error) {
	b, err := json.Marshal(c)
	return b, Error.Wrap(err)
}

// DecodeConfig decodes a canonical form without validating it. It ignores unknown
// fields, so that a host can apply a generation written by a newer release.
func DecodeConfig(b []byte) (*model.Config, error) {
	c := &model.Config{}
	return c, Error.Wrap(json.Unmarshal(b, c))
}

// DecodeNewConfig decodes the canonical form of a proposed configuration and validates
// it. It rejects unknown fields; an invalid configuration gives an error of type
// Problems.
func DecodeNewConfig(b []byte) (*model.Config, error) {
	if len(b) > MaxConfigBytes {
		return nil, Problems{{File: "configuration", Reason: tooLargeReason(len(b))}}
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

// Digest returns the SHA-256 digest of a canonical form in hexadecimal.
func Digest(canonical []byte) string {
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:])
}

// Pack compresses a canonical form with DEFLATE, as stored and as sent between hosts.
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

// Unpack decompresses a canonical form. It fails if the result is larger than
// MaxConfigBytes or does not have the given digest.
func Unpack(packed []byte, digest string) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	canonical, err := io.ReadAll(io.LimitReader(r, MaxConfigBytes+1))
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(canonical) > MaxConfigBytes {
		return nil, Error.New("%s", tooLargeReason(len(canonical)))
	}
	if got := Digest(canonical); got != digest {
		return nil, Error.New("the content's digest is %s, not %s", got, digest)
	}
	return canonical, nil
}

// CheckConfig applies to a configuration that was not read from a folder the same rules as
// ParseConfig applies to files.
func CheckConfig(c *model.Config) Problems {
	var out Problems
	report := func(section, key, reason string) {
		out = append(out, Problem{File: "configuration", Section: section, Key: key, Reason: reason})
	}
	checkValues(reflect.ValueOf(c).Elem(), report)
	crossCheck(c, report)
	return out.sorted()
}
