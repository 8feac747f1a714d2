/** Codec of the OpenAI HTTP interface: requests, server-sent events, answers and errors. */
package org.cactusshift.internal.protocol.openai;
