/** Typed failures and exceptions; each carries the step and the peer at which it arose. */
package org.cactusshift.errors;
