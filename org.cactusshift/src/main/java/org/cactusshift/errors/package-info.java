/** Typed failures and exceptions; each carries the failed step and the remote side of the step. */
package org.cactusshift.errors;
