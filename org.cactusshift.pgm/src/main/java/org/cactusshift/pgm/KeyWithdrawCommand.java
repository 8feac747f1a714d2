package org.cactusshift.pgm;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.cactusshift.errors.CactusshiftException;
import org.cactusshift.id.KeyId;
import org.cactusshift.internal.coordination.configsync.AccountKeyEditor;

/** Revokes a client key in the current configuration. */
public final class KeyWithdrawCommand implements Command {
    @Override
    public String name() {
        return "key withdraw";
    }

    @Override
    public String summary() {
        return "revokes a client key and aborts its requests within seconds";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(CommonOptions.site())
                .addOption(CommonOptions.store())
                .addOption(Option.builder()
                        .longOpt("key")
                        .hasArg()
                        .argName("KEY-ID")
                        .desc("the id of the key, the part between cs- and the last dot")
                        .get());
    }

    @Override
    public int run(CommandLine line, Console console) throws UsageException, CactusshiftException {
        KeyId key = parseKeyId(line);
        ConfigEdit edit = current -> AccountKeyEditor.revoke(current, key);
        try (StoreSession session = StoreSession.open(line)) {
            long version = edit.applyWithRetry(session, line, "withdraw key " + key);
            console.err().println("key " + key + " is revoked in version " + version);
            return ExitStatus.SUCCESS;
        }
    }

    private static KeyId parseKeyId(CommandLine line) throws UsageException {
        try {
            return KeyId.fromString(CommonOptions.requiredValue(line, "key"));
        } catch (IllegalArgumentException e) {
            throw new UsageException(e.getMessage());
        }
    }
}
