package lineward.core;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the group of tables that a statement reads or writes: the number in its schema's name. */
public final class TableGroups {
    /** One token: what does not count (comments, strings), a quoted or plain word, or any other character. */
    private static final Pattern TOKEN = Pattern.compile("(?s)--[^\\n]*|#[^\\n]*|/\\*.*?(?:\\*/|\\z)"
            + "|'(?:[^'\\\\]|''|\\\\.)*+(?:'|\\z)|([\"`])(?<quoted>(?:(?!\\1).)*+)(?:\\1|\\z)"
            + "|(?<word>[A-Za-z_$][\\w$]*+)|(?<other>\\S)");
    private static final Pattern NUMBERED = Pattern.compile(".*_([0-9]{1,6})");

    private TableGroups() { }

    /** @return the number behind the underscore of the first schema named but {@code staging}; 0 if none */
    public static int of(CharSequence statement) {
        Matcher token = TOKEN.matcher(statement);
        String name = null;
        while (token.find()) {
            String quoted = token.group("quoted");
            String word = quoted != null ? quoted : token.group("word");
            if (word != null) {
                name = word;
            } else if (token.group("other") != null) {
                Matcher numbered = name == null || !token.group("other").equals(".") ? null
                        : NUMBERED.matcher(name.toLowerCase(Locale.ROOT));
                if (numbered != null && numbered.matches()) {
                    return Integer.parseInt(numbered.group(1));
                }
                name = null;
            }
        }
        return 0;
    }
}
