package advice_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite runs specs on simulated time.
var suite *testing.T

func TestAdvice(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "advice")
}
